package standin

import (
	"time"

	"github.com/rs/zerolog"
)

// Options configures a Server. Zero durations mean no delay.
type Options struct {
	ID         string // unique and never reused; an id in the data folder takes precedence
	Group      string // database group
	Listen     string // ip:port; default 127.0.0.1:0
	Advertise  string // ip:port that is announced; default the listen address
	DataCentre string
	Labels     map[string]string
	DataFolder string // folder of the log and metadata; empty keeps them in memory only

	Slots       int // concurrently executed statements; default 3
	Connections int // limit of client connections, not counting replication; default 25

	ConnectDelay     time.Duration // added to the startup time of a connection
	ServiceTime      time.Duration // time that a statement holds its slot
	Latency          time.Duration // one-way network latency
	ReplicationDelay time.Duration // minimum age of a record when this server receives it as a replica
	ApplyDelay       time.Duration // delay between receiving and applying a record
	LockTimeout      time.Duration // maximum wait for a row lock; default 1 s

	AnnounceTo       []string      // ip:port of the operator service of each entry host
	AnnounceInterval time.Duration // default 1 s

	Log zerolog.Logger // the zero value discards all messages
}

// withDefaults returns o with the defaults filled in.
func (o Options) withDefaults() Options {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Slots == 0 {
		o.Slots = 3
	}
	if o.Connections == 0 {
		o.Connections = 25
	}
	if o.LockTimeout == 0 {
		o.LockTimeout = time.Second
	}
	if o.AnnounceInterval == 0 {
		o.AnnounceInterval = time.Second
	}
	return o
}
