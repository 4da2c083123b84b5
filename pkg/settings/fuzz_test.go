package settings_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/pkg/settings"
)

// FuzzParse guards against a settings file that causes a panic, and against accepted
// limits that are not positive.
func FuzzParse(f *testing.F) {
	f.Add("host = { id = \"e1\", data_centre = \"dc\", region = \"r\", memory_mb = 128 }\n" +
		"listen = { callers = \"127.0.0.1:1\", operators = \"127.0.0.1:2\" }\ncontrol = { addresses = [\"127.0.0.1:3\"] }\n" +
		"[entry]\nmessage_timeout = \"1s\"\nmax_session_bytes = 100\n")
	f.Add("[entry]\nmax_connections = 1e400\nwrite_timeout = \"-1s\"")
	f.Fuzz(func(t *testing.T, text string) {
		for _, role := range []settings.Role{settings.RoleEntry, settings.RoleControl, settings.RoleGateway, settings.RoleDirectory, "other"} {
			cfg, err := settings.Parse("F", text, role)
			if err != nil || role != settings.RoleGateway {
				continue
			}
			e := cfg.Entry
			if min(e.MaxConnections, e.MaxQueuedBytes, e.MaxSessionNames, e.MaxSessionBytes) < 1 || min(e.StartupTimeout.Std(), e.MessageTimeout.Std(), e.WriteTimeout.Std()) <= 0 {
				t.Fatalf("%q is accepted with the limits %+v", text, e)
			}
		}
	})
}
