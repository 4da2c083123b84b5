// Package database describes the databases that callers may name when they
// connect, and the groups of backend servers behind them. Operators number
// each configuration; the highest number is in force.
//
// # Usage
//
//	cfg, err := adapter.ParseConfig(document) // a process.Adapter; any codec may fill a Config
//	db, ok := cfg.Databases["orders"]
//	group := cfg.Groups[db.Group]
package database

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("database")

// Consistency determines which commits a read must see.
type Consistency uint8

// The consistency levels.
const (
	Primary Consistency = iota + 1 // every acknowledged commit
	Bounded                        // commits older than Database.MaxStaleness
	Session                        // as Bounded, and every commit of the session
)

// String returns the name that logs use.
func (c Consistency) String() string {
	switch c {
	case Primary:
		return "primary"
	case Bounded:
		return "bounded"
	case Session:
		return "session"
	}
	return fmt.Sprintf("consistency(%d)", uint8(c))
}

// Database is one name that callers connect to.
type Database struct {
	Name             string
	Group            string
	Consistency      Consistency
	MaxStaleness     time.Duration // Bounded and Session only
	Rank             int           // 0 is the most urgent
	StatementTimeout time.Duration // of one statement
	Public           bool          // callers need no key
	LatencyTarget    time.Duration // of a whole operation
}

// Group is a set of backend servers with one primary.
type Group struct {
	Name           string
	MaxConnections int // accepted by one server from all hosts together
	SyncReplicas   int // number of replicas that must receive a commit before it is acknowledged
}

// Config is one numbered configuration. It is immutable.
type Config struct {
	Version         uint64
	Databases       map[string]Database
	Groups          map[string]Group
	Customers       map[string]Customer // empty: callers need no key
	TransactionIdle time.Duration       // an open transaction without a statement for this time may be ended; 0 for no limit
}

// Check returns an error if the configuration is invalid and must not be put
// into force.
func (c *Config) Check() error {
	if c.Version == 0 {
		return Error.New("the version is missing")
	}
	for name, db := range c.Databases {
		switch {
		case name == "" || db.Name != name:
			return Error.New("a database has no name")
		case db.Consistency < Primary || db.Consistency > Session:
			return Error.New("database %q has no known consistency", name)
		case db.StatementTimeout <= 0:
			return Error.New("database %q has no statement timeout", name)
		case db.MaxStaleness < 0 || db.LatencyTarget < 0:
			return Error.New("database %q has a negative duration", name)
		}
		if _, ok := c.Groups[db.Group]; !ok {
			return Error.New("database %q names group %q, which is not declared", name, db.Group)
		}
	}
	return c.checkCustomers()
}

// checkCustomers checks each customer, and that no two of them share a key.
func (c *Config) checkCustomers() error {
	owners := make(map[KeyDigest]string)
	for name, customer := range c.Customers {
		if customer.Name != name {
			return Error.New("customer %q is stored under another name", customer.Name)
		}
		if err := customer.check(); err != nil {
			return err
		}
		for _, key := range customer.Keys {
			if other, ok := owners[key]; ok && other != name {
				return Error.New("customers %q and %q share a key", min(name, other), max(name, other))
			}
			owners[key] = name
		}
	}
	return nil
}

// KeyOwners returns the name of the customer of each key.
func (c *Config) KeyOwners() map[KeyDigest]string {
	owners := make(map[KeyDigest]string, len(c.Customers))
	for name, customer := range c.Customers {
		for _, key := range customer.Keys {
			owners[key] = name
		}
	}
	return owners
}

// CustomerOf returns the name of the customer of a key. It looks at every key of the
// configuration; whoever needs it often keeps the map of KeyOwners.
func (c *Config) CustomerOf(key string) (name string, ok bool) {
	name, ok = c.KeyOwners()[DigestOf(key)]
	return name, ok
}
