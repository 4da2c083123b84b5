package main

import (
	"errors"
	"time"
)

const (
	// startSpread is the time from the start of the first machine to that of the last one;
	// the pages allow 0.3 s.
	startSpread = 280 * time.Millisecond
	// firstKill is when the directory of the first machine is killed.
	firstKill = 250 * time.Millisecond
	// restartDelay is the delay after which a killed process is started again.
	restartDelay = 300 * time.Millisecond
	// acceptTime is how long the operator sends the first configuration. The pages give a
	// configuration ack_timeout_ms, 6 s.
	acceptTime = 60 * time.Second
	// serveTime is how long the clients write then.
	serveTime = 10 * time.Second
)

// startFirst starts the whole system for the first time. One control process is killed
// before the last machine starts, and started again with its disk as it was.
func startFirst(in *installation, trouble bool) error {
	a, b, c := in.machines[0], in.machines[1], in.machines[2]
	begun := time.Now()
	if err := errors.Join(a.start(), b.start()); err != nil {
		return err
	}
	time.Sleep(time.Until(begun.Add(firstKill)))
	if trouble {
		in.rec.say("%s is killed", a.directory.name)
		a.directory.kill()
	}
	time.Sleep(time.Until(begun.Add(startSpread)))
	if err := c.start(); err != nil {
		return err
	}
	if !trouble {
		return nil
	}
	time.Sleep(time.Until(begun.Add(firstKill + restartDelay)))
	in.rec.say("%s starts again, bootstrap is false", a.directory.name)
	return errors.Join(in.writeSettings(a, false, in.machines), a.directory.start())
}

// runFirstStart looks whether the first configuration is acknowledged and requests are
// served.
func runFirstStart(in *installation, _ bool) (bool, error) {
	accepted := in.operator.replace(acceptTime)
	in.rec.say("the first configuration was acknowledged: %t", accepted)
	in.clients = newClients(in)
	from := time.Now()
	time.Sleep(serveTime)
	in.clients.end()
	share := in.share(from, time.Now())
	in.rec.say("writes served: %.2f", share)
	return share > 0, nil
}
