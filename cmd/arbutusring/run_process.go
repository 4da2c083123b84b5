package main

import (
	"context"
	"errors"
	"runtime/debug"

	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"
)

func (c *commandLine) addProcess(sub *flaggy.Subcommand) {
	sub.String(&c.settingsFile, "s", "settings", "settings file (TOML)")
}

// memoryLimitFraction is the fraction of the memory of the process from which on
// the garbage collector works harder. The rest is for stacks, the runtime and
// memory that is not returned yet.
const memoryLimitFraction = 0.7

// limitMemory makes the garbage collector keep to the memory of the process.
func limitMemory(cfg settings.Settings) {
	if cfg.Host.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.Host.MemoryMB) * (1 << 20)))
	}
}

// loadSettings loads the file that --settings names, and applies its memory limit.
func (c *commandLine) loadSettings(role settings.Role) (settings.Settings, error) {
	if c.settingsFile == "" {
		return settings.Settings{}, usageError{errors.New("--settings is missing")}
	}
	cfg, err := settings.Load(c.settingsFile, role)
	if err != nil {
		return settings.Settings{}, usageError{err}
	}
	limitMemory(cfg)
	return cfg, nil
}

// runEntry runs an entry process until the first signal, then stops it as
// planned.
func (c *commandLine) runEntry(ctx context.Context) error {
	cfg, err := c.loadSettings(settings.RoleEntry)
	if err != nil {
		return err
	}
	log, err := c.logger(cfg.Log.Level)
	if err != nil {
		return err
	}
	p, err := process.StartEntry(process.EntryOptions{Settings: cfg, Logger: log})
	if err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), cfg.Entry.StopTimeout.Std())
	defer cancel()
	return p.Stop(stopCtx)
}

// runControl runs a control process until the first signal or the failure of
// its data folder.
func (c *commandLine) runControl(ctx context.Context) error {
	cfg, err := c.loadSettings(settings.RoleControl)
	if err != nil {
		return err
	}
	log, err := c.logger(cfg.Log.Level)
	if err != nil {
		return err
	}
	p, err := process.StartControl(process.ControlOptions{Settings: cfg, Logger: log})
	if err != nil {
		return err
	}
	var failure error
	select {
	case <-ctx.Done():
	case <-p.Done():
		failure = errors.New("the replicated log has stopped")
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), cfg.Entry.StopTimeout.Std())
	defer cancel()
	return errs.Combine(failure, p.Stop(stopCtx))
}
