package main

import (
	"context"
	"io"
	"os"

	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/pkg/settings"
)

// Main calls main, for a test binary that runs as the command.
func Main() { main() }

// WatchSettings runs the settings watcher of a process with the settings cfg until ctx
// ends.
func WatchSettings(ctx context.Context, file string, cfg settings.Settings, hup <-chan os.Signal, reload func(settings.Settings)) error {
	events := eventlog.New(eventlog.Options{Output: io.Discard})
	defer func() { _ = events.Close() }()
	w := &settingsWatcher{file: file, role: settings.RoleGateway, events: events, reload: reload, settings: cfg}
	return w.loop(ctx, hup, nil)
}
