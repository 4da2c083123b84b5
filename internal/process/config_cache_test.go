package process_test

import (
	"errors"
	"testing"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/matryer/is"
)

// TestConfigIsParsedOnce guards against parsing a long configuration again at each step
// of each switchover, and against the use of an earlier one.
func TestConfigIsParsedOnce(t *testing.T) {
	is := is.New(t)
	parsed := 0
	config := process.CachedConfig(func(document []byte) (*database.Config, error) {
		parsed++
		if string(document) == "malformed" {
			return nil, errors.New("malformed")
		}
		return &database.Config{Groups: map[string]database.Group{string(document): {}}}, nil
	})
	state := func(version uint64, document string) directoryrpc.State {
		return directoryrpc.State{ConfigVersion: version, Document: directoryrpc.Compress([]byte(document))}
	}
	cfg, err := config(directoryrpc.State{})
	is.NoErr(err)
	is.Equal(len(cfg.Groups), 0) // there is no configuration yet
	for range 100 {
		cfg, err = config(state(3, "first"))
		is.NoErr(err)
		is.Equal(cfg.Groups, map[string]database.Group{"first": {}})
	}
	is.Equal(parsed, 1)
	cfg, err = config(state(4, "second"))
	is.NoErr(err)
	is.Equal(cfg.Groups, map[string]database.Group{"second": {}})
	for range 100 {
		_, err = config(state(5, "malformed"))
		is.True(err != nil)
	}
	is.Equal(parsed, 3)
}
