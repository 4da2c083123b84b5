// Package settings reads the settings of one process from a TOML file: its
// addresses, its data centre and its limits. What operators change while the
// system runs is in pkg/policy.
//
// Every value is checked at start. An unknown key, a malformed duration, two
// listeners with the same address or a missing data folder is an error that
// names the file, the line where there is one, and the key.
//
// # Usage
//
//	cfg, err := settings.Load("entry.toml", settings.RoleEntry)
package settings

import (
	"net"
	"os"
	"strconv"

	"github.com/arbutusring/arbutusring/pkg/tomlstrict"
	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("settings")

// Role is the kind of process that the settings are for.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"

	// RoleGateway and RoleDirectory are the counterparts of RoleEntry and
	// RoleControl for groups whose backend servers announce their roles.
	RoleGateway   Role = "gateway"
	RoleDirectory Role = "directory"
)

// Settings are the settings of one process.
type Settings struct {
	Host    Host    `toml:"host"`
	Listen  Listen  `toml:"listen"`
	Control Control `toml:"control"`
	Entry   Entry   `toml:"entry"`
	Log     Log     `toml:"log"`

	Promotion Promotion `toml:"promotion"`
	Allowance Allowance `toml:"allowance"`
}

// Host identifies the host of the process and its location.
type Host struct {
	ID         string            `toml:"id"`   // unique among the hosts of its role
	Name       string            `toml:"name"` // directory only: name of the host in external services
	DataCentre string            `toml:"data_centre"`
	Region     string            `toml:"region"`
	Labels     map[string]string `toml:"labels"`
	Regions    map[string]string `toml:"regions"`   // gateway only: region by data centre
	MemoryMB   int               `toml:"memory_mb"` // memory that the process may use, in MB; 0 for no limit
}

// Listen holds the addresses that the process listens on, each as ip:port.
type Listen struct {
	Callers   string `toml:"callers"`   // PostgreSQL protocol of an entry process or line protocol of a gateway; empty in other processes
	Peers     string `toml:"peers"`     // other processes of the project; optional for gateways, which then share no connections
	Operators string `toml:"operators"` // HTTP: operators, readiness, announcements
}

// Control describes how to reach the control hosts, and their own settings.
type Control struct {
	Addresses  []string          `toml:"addresses"`   // peer addresses of all control hosts
	DataFolder string            `toml:"data_folder"` // control and directory only
	Bootstrap  bool              `toml:"bootstrap"`   // control and directory only: first start of a new installation
	Members    map[string]string `toml:"members"`     // control and directory only: id to peer address of the first members
	PeerPort   int               `toml:"peer_port"`   // replaces the port of addresses and members; 0 keeps it
}

// Promotion configures the external service that promotes backend servers.
type Promotion struct {
	Address string `toml:"address"` // directory only: ip:port
}

// Allowance determines how exactly the limits of customers hold: in every window, at
// most (rate x window + burst) x (1 + overage) + tolerance operations of a customer.
// Directory only.
type Allowance struct {
	Window    tomlstrict.Duration `toml:"window"`
	Overage   float64             `toml:"overage"`
	Tolerance float64             `toml:"tolerance"` // operations
}

// Entry holds the limits of an entry process. StopTimeout applies to processes of
// every role.
type Entry struct {
	MaxConnections int                 `toml:"max_connections"`
	MaxCycleBytes  int                 `toml:"max_cycle_bytes"`
	MaxAnswerBytes int                 `toml:"max_answer_bytes"`
	StopTimeout    tomlstrict.Duration `toml:"stop_timeout"` // longest duration of a planned stop

	// Limits on callers; docs/design/limits.md has the reasons.
	MaxConnectionsPerAddress int                 `toml:"max_connections_per_address"` // 0 for no limit
	MaxQueuedBytes           int                 `toml:"max_queued_bytes"`
	MaxSessionNames          int                 `toml:"max_session_names"`
	MaxSessionBytes          int                 `toml:"max_session_bytes"`
	StartupTimeout           tomlstrict.Duration `toml:"startup_timeout"`
	MessageTimeout           tomlstrict.Duration `toml:"message_timeout"`
	WriteTimeout             tomlstrict.Duration `toml:"write_timeout"`
}

// Log configures the log, which is written as JSON lines to standard error.
type Log struct {
	Level string `toml:"level"` // debug, info, warn or error
}

// PeerAddresses returns the peer addresses of the control hosts.
func (c Control) PeerAddresses() []string {
	out := make([]string, 0, len(c.Addresses))
	for _, a := range c.Addresses {
		out = append(out, c.withPeerPort(a))
	}
	return out
}

// PeerMembers returns the peer addresses of the first members by id.
func (c Control) PeerMembers() map[string]string {
	out := make(map[string]string, len(c.Members))
	for id, a := range c.Members {
		out[id] = c.withPeerPort(a)
	}
	return out
}

// withPeerPort replaces the port of address with PeerPort, if that is set.
func (c Control) withPeerPort(address string) string {
	host, _, err := net.SplitHostPort(address)
	if c.PeerPort == 0 || err != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(c.PeerPort))
}

// Load reads and checks the settings of a process that is about to start on
// this host, including its data folder.
func Load(file string, role Role) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	cfg, err := Parse(file, string(text), role)
	if err != nil || role != RoleControl && role != RoleDirectory {
		return cfg, err
	}
	location := tomlstrict.Locate(string(text)).At(file, "control.data_folder")
	info, err := os.Stat(cfg.Control.DataFolder)
	if err != nil {
		return Settings{}, Error.New("%s: %v", location, err)
	}
	if !info.IsDir() {
		return Settings{}, Error.New("%s: %s is not a folder", location, cfg.Control.DataFolder)
	}
	return cfg, nil
}

// Parse reads and checks settings without access to the host's data folder, so
// that settings of other hosts can be checked as well.
func Parse(file, text string, role Role) (Settings, error) {
	cfg := defaults()
	if err := tomlstrict.Decode(file, text, &cfg); err != nil {
		return Settings{}, err
	}
	if err := cfg.check(file, tomlstrict.Locate(text), role); err != nil {
		return Settings{}, err
	}
	return cfg, nil
}
