package database

import (
	"math"
	"strings"
	"unicode"
)

// Customer is one customer of the callers. Its keys identify its sessions.
type Customer struct {
	Name     string
	Keys     []KeyDigest
	Priority int     // kept as the operator gave it; nothing depends on it yet
	Rate     float64 // operations a second over all hosts together; 0 for no limit
	Burst    float64 // operations above Rate that may be run at once
}

// check returns an error if the customer is invalid. No text contains a key.
func (c Customer) check() error {
	switch {
	case c.Name == "":
		return Error.New("a customer has no name")
	case strings.ContainsFunc(c.Name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }):
		// Servers get the name as one word of a line.
		return Error.New("the name of customer %q contains a space or control character", c.Name)
	case !validAmount(c.Rate) || !validAmount(c.Burst):
		return Error.New("customer %q has a rate or burst that is negative or not a number", c.Name)
	}
	for _, key := range c.Keys {
		if key == DigestOf("") {
			return Error.New("customer %q has an empty key", c.Name)
		}
	}
	return nil
}

// validAmount reports whether f is a number that is not negative.
func validAmount(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }
