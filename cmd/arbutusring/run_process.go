package main

import (
	"context"
	"errors"

	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"
)

func (c *commandLine) addProcess(sub *flaggy.Subcommand) {
	sub.String(&c.settingsFile, "s", "settings", "settings file (TOML)")
}

// loadSettings loads the file that --settings names.
func (c *commandLine) loadSettings(role settings.Role) (settings.Settings, error) {
	if c.settingsFile == "" {
		return settings.Settings{}, usageError{errors.New("--settings is missing")}
	}
	cfg, err := settings.Load(c.settingsFile, role)
	if err != nil {
		return settings.Settings{}, usageError{err}
	}
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
