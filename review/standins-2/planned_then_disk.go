package main

import (
	"errors"
	"syscall"
	"time"
)

const (
	// plannedLead is how long the new machine has run when the old one gets SIGTERM; the
	// installations have up to 2.4 s.
	plannedLead = 2400 * time.Millisecond
	// catchUp is catch_up_s: so long after its start a new machine counts as lost.
	catchUp = 4 * time.Second
	// diskDown is how long the machine that loses its disk is down.
	diskDown = time.Second
	// recovery is recovery_s.
	recovery = 12 * time.Second
	// judged is the time after it in which writes are judged.
	judged = 15 * time.Second
)

// runPlannedThenDisk replaces a machine of the core as planned. Once its successor no
// longer counts as lost, another machine loses its disk.
func runPlannedThenDisk(in *installation, trouble bool) (bool, error) {
	a, b, c := in.machines[0], in.machines[1], in.machines[2]
	time.Sleep(3 * time.Second)
	before := in.share(in.rec.started, time.Now())
	d := in.newMachine(3, a.zone)
	in.machines = append(in.machines, d)
	if err := errors.Join(in.writeSettings(d, false, []*machine{a, b, c}), d.start()); err != nil {
		return false, err
	}
	started := time.Now()
	in.rec.say("machine %s starts at %s with an empty disk", d.name, d.ip)
	time.Sleep(plannedLead)
	in.rec.say("machine %s gets SIGTERM and is removed for good", a.name)
	stopped := make(chan struct{})
	in.setServing(b, c, d)
	go (&removal{a, stopped}).run()
	a.directory.wait(gracePeriod)
	in.rec.say("the directory of %s has ended", a.name)
	time.Sleep(time.Until(started.Add(catchUp + 50*time.Millisecond)))
	if trouble {
		in.rec.say("machine %s loses power and its disk", b.name)
		b.directory.kill()
		b.gateway.kill()
		if err := b.loseDisk(); err != nil {
			return false, err
		}
		time.Sleep(diskDown)
		if err := errors.Join(in.writeSettings(b, false, []*machine{b, c, d}), b.start()); err != nil {
			return false, err
		}
	}
	<-stopped
	back := time.Now()
	in.rec.say("all machines are back")
	time.Sleep(recovery + judged)
	after := in.share(back.Add(recovery), time.Now())
	read := in.operator.read(6 * time.Second)
	in.clients.end()
	in.rec.say("served before: %.2f; served later than recovery_s after the machines were back: %.2f; configuration acknowledged %d, read back %d (0: none)",
		before, after, in.operator.acked, read)
	return (before < 0.25 || after >= 0.25) && read == in.operator.acked, nil
}

// removal stops a machine for good.
type removal struct {
	machine *machine
	done    chan struct{}
}

func (r *removal) run() {
	defer close(r.done)
	r.machine.directory.signal(syscall.SIGTERM)
	r.machine.gateway.terminate()
	r.machine.directory.terminate()
}

// share returns the share of the writes sent between two times that were acknowledged.
func (in *installation) share(from, to time.Time) float64 {
	n, ok := 0, 0
	for _, o := range in.clients.results() {
		if o.sent.Before(from) || o.sent.After(to) {
			continue
		}
		n++
		if o.success {
			ok++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(ok) / float64(n)
}
