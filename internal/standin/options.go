package standin

import (
	"time"

	"github.com/rs/zerolog"
)

// Options configure a Server. Zero durations mean no delay.
type Options struct {
	ID         string // unique for ever; taken from the data folder if that has one
	Group      string // database group
	Listen     string // ip:port; default 127.0.0.1:0
	Advertise  string // ip:port that is announced; default the listening address
	DataCentre string
	Labels     map[string]string
	DataFolder string // folder of the log; empty keeps it in memory only

	Slots       int // statements executed at a time; default 3
	Connections int // connection limit, without replication; default 25

	ConnectDelay     time.Duration // added to the startup of a connection
	ServiceTime      time.Duration // time that a statement holds its slot
	Latency          time.Duration // one-way network latency
	ReplicationDelay time.Duration // age of a record when this server receives it as a replica
	ApplyDelay       time.Duration // time from receiving a record to applying it
	LockTimeout      time.Duration // longest wait for a row lock; default 1 s

	AnnounceTo       []string      // ip:port of the operator services of entry hosts
	AnnounceInterval time.Duration // default 1 s

	Log zerolog.Logger // the zero value discards everything
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
