package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/signal"
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

// settingsPoll is how often the settings file is looked at; it may change
// without a signal.
const settingsPoll = 2 * time.Second

// restartPause is the pause before a process whose data folder failed tries
// again. A full or broken disk may last for minutes.
const restartPause = time.Second

// running is a process that can be stopped and reloaded.
type running struct {
	reload func(settings.Settings)
	stop   func(context.Context) error
	done   <-chan struct{} // closed if the process can't go on; nil if that does not happen
}

// runGateway runs a gateway process until the first signal.
func (c *commandLine) runGateway(ctx context.Context) error {
	return c.runReloadable(ctx, settings.RoleGateway, func(cfg settings.Settings, events *eventlog.Log, reg metrics.Registry) (running, error) {
		p, err := process.StartGateway(process.GatewayOptions{Settings: cfg, Adapter: platform.Adapter(), Events: events, Registry: reg})
		if err != nil {
			return running{}, err
		}
		return running{reload: p.Reload, stop: p.Stop}, nil
	})
}

// runDirectory runs a directory process until the first signal or the failure
// of its data folder.
func (c *commandLine) runDirectory(ctx context.Context) error {
	return c.runReloadable(ctx, settings.RoleDirectory, func(cfg settings.Settings, events *eventlog.Log, reg metrics.Registry) (running, error) {
		p, err := process.StartDirectory(process.DirectoryOptions{Settings: cfg, Adapter: platform.Adapter(), Events: events, Registry: reg})
		if err != nil {
			return running{}, err
		}
		return running{reload: p.Reload, stop: p.Stop, done: p.Done()}, nil
	})
}

// runReloadable runs a process, reloads its settings on SIGHUP and when the
// file changes, and stops it as planned.
func (c *commandLine) runReloadable(ctx context.Context, role settings.Role, start func(settings.Settings, *eventlog.Log, metrics.Registry) (running, error)) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	cfg, err := c.settings(role)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		return usageError{err}
	}
	reg := metrics.NewRegistry()
	events := eventlog.New(eventlog.Options{Output: c.stdout, Host: cfg.Host.ID, Level: level, Registry: reg})
	defer func() { _ = events.Close() }() // the last lines may be lost if nobody reads them
	for ctx.Err() == nil {
		p, err := start(cfg, events, reg)
		if err != nil {
			events.Event("start_failed").Err(err).Msg("the process does not work; it tries again")
			waitFor(ctx, restartPause)
			continue
		}
		w := &settingsWatch{file: c.settingsFile, role: role, events: events, reload: p.reload}
		w.read() // remembers the text
		failed := w.loop(ctx, hup, p.done)
		stopCtx, cancel := context.WithTimeout(context.Background(), cfg.Entry.StopTimeout.Std())
		err = p.stop(stopCtx)
		cancel()
		if failed == nil {
			return err
		}
		events.Event("failed").Err(errs.Combine(failed, err)).Msg("the process starts again without ending")
		waitFor(ctx, restartPause)
	}
	return nil
}

// waitFor waits for d, or until ctx ends.
func waitFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// settingsWatch reloads settings.
type settingsWatch struct {
	file   string
	role   settings.Role
	events *eventlog.Log
	reload func(settings.Settings)
	text   []byte // last seen
}

// loop reloads until ctx ends or the process fails.
func (w *settingsWatch) loop(ctx context.Context, hup <-chan os.Signal, done <-chan struct{}) error {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-done:
			return errors.New("the replicated log has stopped")
		case <-hup:
		case <-ticker.C:
		}
		if !w.read() {
			continue
		}
		cfg, err := settings.Load(w.file, w.role)
		if err != nil {
			w.events.Event("reload_failed").Err(err).Msg("the settings in force stay")
			continue
		}
		w.reload(cfg)
	}
}

// read reports whether the text of the file has changed.
func (w *settingsWatch) read() bool {
	text, err := os.ReadFile(w.file)
	if err != nil {
		w.events.Event("reload_failed").Err(err).Msg("the settings file can't be read")
		return false
	}
	if bytes.Equal(text, w.text) {
		return false
	}
	w.text = text
	return true
}
