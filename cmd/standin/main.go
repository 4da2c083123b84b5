// Command standin runs one stand-in database server until it receives
// SIGTERM or SIGINT, and then shuts it down gracefully. Logs are JSON lines on
// standard error. The first line on standard output is the address that
// clients connect to.
//
//	standin --id m1 --group orders --data-centre cork-1 --announce 127.0.0.1:8001,127.0.0.1:8002
//
// See internal/standin for the SQL and the fault switches.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/rs/zerolog"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := run(log); err != nil {
		log.Error().Err(err).Msg("stand-in server failed")
		os.Exit(1)
	}
}

// run runs the server until a signal arrives, then stops it.
func run(log zerolog.Logger) error {
	f, err := parseFlags(os.Args[1:])
	if err != nil {
		return err
	}
	f.options.Log = log
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	srv, err := standin.New(f.options)
	if err != nil {
		return err
	}
	if err := srv.Start(); err != nil {
		return err
	}
	fmt.Println(srv.Address())
	<-ctx.Done()
	stop() // a second signal ends the process at once
	log.Info().Msg("stopping the stand-in server")
	stopCtx, cancel := context.WithTimeout(context.Background(), f.stopTimeout)
	defer cancel()
	begun := time.Now()
	err = srv.Stop(stopCtx)
	log.Info().Dur("took", time.Since(begun)).Err(err).Msg("stand-in server stopped")
	return err
}
