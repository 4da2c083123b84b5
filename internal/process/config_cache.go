package process

import (
	"sync"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/database"
)

// configCache keeps the parsed configuration in force: to parse a document takes
// time in proportion to its length, and a switchover needs it many times a second.
type configCache struct {
	parse func(document []byte) (*database.Config, error)

	mu      sync.Mutex
	version uint64 // of cfg and err; 0 before the first call
	cfg     *database.Config
	limits  map[string]allowance.Limit // of cfg
	err     error
}

// get returns the configuration of a state; an empty one if there is none yet.
func (c *configCache) get(s directoryrpc.State) (*database.Config, error) {
	if s.ConfigVersion == 0 {
		return new(database.Config), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update(s)
	return c.cfg, c.err
}

// limitsOf returns the limits of customers in the configuration of a state.
func (c *configCache) limitsOf(s directoryrpc.State) (map[string]allowance.Limit, error) {
	if s.ConfigVersion == 0 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update(s)
	return c.limits, c.err
}

// update reads the configuration of a state, if it is another one. The caller holds mu.
func (c *configCache) update(s directoryrpc.State) {
	if s.ConfigVersion == c.version {
		return
	}
	c.version = s.ConfigVersion
	c.limits = nil
	if c.cfg, c.err = c.read(s.Document); c.err == nil {
		c.limits = limitsOf(c.cfg)
	}
}

// read decompresses and parses a document.
func (c *configCache) read(compressed []byte) (*database.Config, error) {
	document, err := directoryrpc.Decompress(compressed)
	if err != nil {
		return nil, err
	}
	return c.parse(document)
}
