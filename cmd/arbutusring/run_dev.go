package main

import (
	"context"
	"fmt"

	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/integrii/flaggy"
)

// devFlags holds the flags of the development installation.
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
