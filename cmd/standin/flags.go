package main

import (
	"strings"
	"time"

	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"
)

// flags is the parsed command line.
type flags struct {
	options     standin.Options
	stopTimeout time.Duration
}

// parseFlags parses the command line.
func parseFlags(args []string) (flags, error) {
	f := flags{stopTimeout: 10 * time.Second}
	o := &f.options
	var labels, announce []string
	p := flaggy.NewParser("standin")
	p.Description = "stand-in database server for tests of arbutusring"
	p.ShowHelpOnUnexpected = false
	p.String(&o.ID, "", "id", "server id; default random, or from the data folder")
	p.String(&o.Group, "g", "group", "database group")
	p.String(&o.Listen, "l", "listen", "ip:port to listen on; default 127.0.0.1:0")
	p.String(&o.Advertise, "", "advertise", "ip:port to announce; default the listening address")
	p.String(&o.DataCentre, "", "data-centre", "data centre")
	p.StringSlice(&labels, "", "label", "label as name=value; may be repeated")
	p.String(&o.DataFolder, "d", "data-folder", "folder of the log; default in memory")
	p.Int(&o.Slots, "", "slots", "statements executed at a time; default 3")
	p.Int(&o.Connections, "", "connections", "connection limit; default 25")
	p.Duration(&o.ConnectDelay, "", "connect-delay", "time that a new connection takes")
	p.Duration(&o.ServiceTime, "", "service-time", "time that a statement takes")
	p.Duration(&o.Latency, "", "latency", "one-way network latency")
	p.Duration(&o.ReplicationDelay, "", "replication-delay", "age at which a replica receives a record")
	p.Duration(&o.ApplyDelay, "", "apply-delay", "time from receiving a record to applying it")
	p.Duration(&o.LockTimeout, "", "lock-timeout", "longest wait for a row lock; default 1s")
	p.StringSlice(&announce, "a", "announce", "ip:port of entry hosts to announce to; may be repeated")
	p.Duration(&f.stopTimeout, "", "stop-timeout", "longest wait for open transactions when stopping")
	if err := p.ParseArgs(args); err != nil {
		return flags{}, errs.Wrap(err)
	}
	for _, label := range labels {
		name, value, ok := strings.Cut(label, "=")
		if !ok {
			return flags{}, errs.New("label %q is not of the form name=value", label)
		}
		if o.Labels == nil {
			o.Labels = make(map[string]string)
		}
		o.Labels[name] = value
	}
	for _, a := range announce {
		o.AnnounceTo = append(o.AnnounceTo, strings.Split(a, ",")...)
	}
	if o.Group == "" {
		return flags{}, errs.New("--group is missing")
	}
	return f, nil
}
