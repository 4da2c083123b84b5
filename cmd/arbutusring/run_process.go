package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"
)

func (c *commandLine) addProcess(sub *flaggy.Subcommand) {
	sub.String(&c.settingsFile, "s", "settings", "settings file (TOML)")
}

func (c *commandLine) settings(role settings.Role) (settings.Settings, error) {
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
	cfg, err := c.settings(settings.RoleEntry)
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
	cfg, err := c.settings(settings.RoleControl)
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
	var failed error
	select {
	case <-ctx.Done():
	case <-p.Done():
		failed = errors.New("the replicated log has stopped")
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), cfg.Entry.StopTimeout.Std())
	defer cancel()
	return errs.Combine(failed, p.Stop(stopCtx))
}

// devFlags are the flags of the development installation.
type devFlags struct {
	callers  [2]string
	logLevel string
}

func defaultDevFlags() devFlags {
	return devFlags{callers: [2]string{"127.0.0.1:6432", "127.0.0.1:6433"}, logLevel: "warn"}
}

func (c *commandLine) addDev(sub *flaggy.Subcommand) {
	sub.String(&c.dev.callers[0], "", "callers-1", "caller address of the first entry host")
	sub.String(&c.dev.callers[1], "", "callers-2", "caller address of the second entry host")
	sub.String(&c.address, "", "operators", "operator address of the first entry host")
	sub.String(&c.dev.logLevel, "", "log-level", "debug, info, warn or error")
}

// runDev runs a development installation until the first signal.
func (c *commandLine) runDev(ctx context.Context) error {
	log, err := c.logger(c.dev.logLevel)
	if err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	d, err := process.StartDev(startCtx, process.DevOptions{Callers: c.dev.callers, Operators: c.address, Logger: log})
	if err != nil {
		return err
	}
	for _, a := range d.CallerAddresses() {
		fmt.Fprintf(c.stdout, "callers    postgres://caller@%s/%s?sslmode=disable\n", a, process.DevGroup)
	}
	for _, a := range d.OperatorAddresses() {
		fmt.Fprintf(c.stdout, "operators  %s\n", a)
	}
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), c.timeout)
	defer cancelStop()
	return d.Stop(stopCtx)
}
