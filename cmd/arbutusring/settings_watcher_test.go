package main_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	main "github.com/arbutusring/arbutusring/cmd/arbutusring"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/matryer/is"
)

const gatewaySettings = `[host]
id = "g1"
data_centre = "d"
region = "r"
[listen]
callers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"
[entry]
stop_timeout = "5s"
[control]
addresses = ["10.0.0.1:7000"]
peer_port = 7440`

// TestSettingsFileWhileItIsWritten guards against a settings file that is read while it is
// written and of which a part, or a part of a value, is obeyed.
func TestSettingsFileWhileItIsWritten(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings.toml")
	is.NoErr(os.WriteFile(file, []byte(gatewaySettings), 0o600))
	cfg, err := settings.Load(file, settings.RoleGateway)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	hup, reloaded, ended := make(chan os.Signal), make(chan settings.Settings, 10), make(chan error, 1)
	go func() {
		ended <- main.WatchSettings(ctx, file, cfg, hup, func(cfg settings.Settings) { reloaded <- cfg })
	}()
	next := strings.Replace(gatewaySettings, "10.0.0.1", "10.0.0.2", 1)
	for _, size := range []int{len(next) - 2, strings.Index(next, "[entry]"), 0, strings.Index(next, "peer_port"), len(next)} {
		is.NoErr(os.WriteFile(file, []byte(next[:size]), 0o600))
		for range 2 {
			hup <- syscall.SIGHUP
		}
	}
	got := <-reloaded
	is.Equal(got.Control.PeerAddresses(), []string{"10.0.0.2:7440"})
	time.Sleep(time.Second)
	is.Equal(len(reloaded), 0)
	cancel()
	is.NoErr(<-ended)
}
