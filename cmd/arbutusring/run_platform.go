package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/arbutusring/arbutusring/platform"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// settingsPollInterval is the interval at which the settings file is read again;
// it may change without a signal.
const settingsPollInterval = 2 * time.Second

// settingsSettleTime is how long a changed settings file must stay the same before it is
// obeyed: it may be read while it is written, and what is cut at the end of a line or
// within a number is valid, too.
const settingsSettleTime = 500 * time.Millisecond

// restartDelay is the delay before a process that failed is started again, for
// example after its data folder failed. A full or broken disk may last for
// minutes.
const restartDelay = time.Second

// runningProcess is a started process that can be reloaded and stopped.
type runningProcess struct {
	reload func(settings.Settings)
	stop   func(context.Context) error
	done   <-chan struct{} // closed when the process has failed; nil for a process that cannot fail
}

// runGateway runs a gateway process until the first signal.
func (c *commandLine) runGateway(ctx context.Context) error {
	return c.runReloadable(ctx, settings.RoleGateway, func(cfg settings.Settings, events *eventlog.Log, reg metrics.Registry) (runningProcess, error) {
		p, err := process.StartGateway(process.GatewayOptions{Settings: cfg, Adapter: platform.Adapter(), Events: events, Registry: reg})
		if err != nil {
			return runningProcess{}, err
		}
		return runningProcess{reload: p.Reload, stop: p.Stop}, nil
	})
}

// runDirectory runs a directory process until the first signal. After a failure
// of its data folder the process is started again.
func (c *commandLine) runDirectory(ctx context.Context) error {
	return c.runReloadable(ctx, settings.RoleDirectory, func(cfg settings.Settings, events *eventlog.Log, reg metrics.Registry) (runningProcess, error) {
		p, err := process.StartDirectory(process.DirectoryOptions{Settings: cfg, Adapter: platform.Adapter(), Events: events, Registry: reg})
		if err != nil {
			return runningProcess{}, err
		}
		return runningProcess{reload: p.Reload, stop: p.Stop, done: p.Done()}, nil
	})
}

// runReloadable runs a process until the first signal, then stops it as planned.
// It looks for changed settings on SIGHUP and at every settingsPollInterval, and
// starts the process again after a failed start or a failed data folder.
func (c *commandLine) runReloadable(ctx context.Context, role settings.Role, start func(settings.Settings, *eventlog.Log, metrics.Registry) (runningProcess, error)) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	cfg, err := c.loadSettings(role)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		return usageError{err}
	}
	reg := metrics.NewRegistry()
	events := eventlog.New(eventlog.Options{Output: c.stdout, Host: cfg.Host.ID, Level: level, Registry: reg})
	defer func() { _ = events.Close() }() // the last lines may be lost if no reader consumes them
	for ctx.Err() == nil {
		p, err := start(cfg, events, reg)
		if err != nil {
			events.Event("start_failed").Err(err).Msg("the process failed to start; retrying")
			sleep(ctx, restartDelay)
			continue
		}
		w := &settingsWatcher{file: c.settingsFile, role: role, events: events, reload: p.reload, settings: cfg}
		failure := w.loop(ctx, hup, p.done)
		cfg = w.settings
		stopCtx, cancel := context.WithTimeout(context.Background(), cfg.Entry.StopTimeout.Std())
		err = p.stop(stopCtx)
		cancel()
		if failure == nil {
			return err
		}
		events.Event("failed").Err(errs.Combine(failure, err)).Msg("the replicated log stopped; restarting the process without exiting")
		sleep(ctx, restartDelay)
	}
	return nil
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// settingsWatcher reloads the settings of a process when their file changes.
type settingsWatcher struct {
	file     string
	role     settings.Role
	events   *eventlog.Log
	reload   func(settings.Settings)
	settings settings.Settings // in force
	lastText []byte            // as last parsed; nil before the first time

	pending      []byte // a changed text that is not parsed yet; nil for none
	pendingSince time.Time
}

// loop reloads changed settings until ctx ends, or returns an error when the
// process fails.
func (w *settingsWatcher) loop(ctx context.Context, hup <-chan os.Signal, done <-chan struct{}) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	settled := time.NewTimer(settingsSettleTime)
	defer settled.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-done:
			return errors.New("the replicated log has stopped")
		case <-hup:
		case <-ticker.C:
		case <-settled.C:
		}
		w.check()
		if w.pending != nil {
			settled.Reset(settingsSettleTime - time.Since(w.pendingSince))
		}
	}
}

// check reloads the settings if the text of the file has changed and stayed the same for
// settingsSettleTime.
func (w *settingsWatcher) check() {
	if !w.fileChanged() {
		return
	}
	cfg, err := settings.Parse(w.file, string(w.lastText), w.role)
	if err != nil {
		w.events.Event("reload_failed").Err(err).Msg("the new settings were rejected; keeping the settings in force")
		return
	}
	if !reflect.DeepEqual(cfg, w.settings) {
		w.settings = cfg
		w.reload(cfg)
	}
}

// fileChanged reports whether the text of the file differs from lastText and has stayed
// the same for settingsSettleTime. It becomes lastText then.
func (w *settingsWatcher) fileChanged() bool {
	text, err := os.ReadFile(w.file)
	if err != nil {
		w.events.Event("reload_failed").Err(err).Msg("cannot read the settings file; keeping the settings in force")
		return false
	}
	switch {
	case bytes.Equal(text, w.lastText):
		w.pending = nil
		return false
	case w.pending == nil || !bytes.Equal(text, w.pending):
		w.pending, w.pendingSince = text, time.Now()
		return false
	case time.Since(w.pendingSince) < settingsSettleTime:
		return false
	}
	w.lastText, w.pending = text, nil
	return true
}
