package policy

import (
	"errors"
	"strings"
	"unicode"

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

// ParseNew is Parse for a configuration that is to be put into force. It refuses keys in
// another case, and names with control characters, which would end a line of the output
// of a command or a field of a message. Parse goes on reading them: earlier releases have
// put such configurations into force, and all hosts must read those alike.
func ParseNew(file, text string) (*Config, error) {
	cfg, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(tomlstrict.CheckCase(file, text, cfg), cfg.checkCharacters(file, text)); err != nil {
		return nil, err
	}
	return cfg, nil
}

func (c *Config) checkCharacters(file, text string) error {
	k := &checker{file: file, text: text}
	check := func(section string, i int, name string) {
		if strings.ContainsFunc(name, unicode.IsControl) {
			k.report(declaration{section: section, index: i, name: name}, "name", "contains a control character")
		}
	}
	for i, g := range c.DatabaseGroups {
		check("database_group", i, g.Name)
	}
	for i, p := range c.ProxyPools {
		check("proxy_pool", i, p.Name)
	}
	for i, r := range c.TrafficRanks {
		check("traffic_rank", i, r.Name)
	}
	for i, p := range c.Policies {
		check("policy", i, p.Name)
	}
	return k.problems.Err()
}
