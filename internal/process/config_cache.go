package process

import (
	"sync"

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
	err     error
}

// get returns the configuration of a state; an empty one if there is none yet.
func (c *configCache) get(s directoryrpc.State) (*database.Config, error) {
	if s.ConfigVersion == 0 {
		return new(database.Config), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.ConfigVersion != c.version {
		c.version = s.ConfigVersion
		c.cfg, c.err = c.read(s.Document)
	}
	return c.cfg, c.err
}

// read decompresses and parses a document.
func (c *configCache) read(compressed []byte) (*database.Config, error) {
	document, err := directoryrpc.Decompress(compressed)
	if err != nil {
		return nil, err
	}
	return c.parse(document)
}
