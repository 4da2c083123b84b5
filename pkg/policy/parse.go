package policy

import (
	"github.com/arbutusring/arbutusring/pkg/tomlstrict"
	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("policy")

// Parse reads and checks a configuration. The file name is used
// only in error messages.
func Parse(file, text string) (*Config, error) {
	cfg := new(Config)
	if err := tomlstrict.Decode(file, text, cfg); err != nil {
		return nil, err
	}
	if err := cfg.check(file, text); err != nil {
		return nil, err
	}
	cfg.index = newIndex(cfg)
	return cfg, nil
}
