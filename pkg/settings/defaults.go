package settings

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/tomlstrict"
)

func defaults() Settings {
	return Settings{
		Entry: Entry{
			MaxConnections: 10_000,
			MaxCycleBytes:  16 << 20,
			MaxAnswerBytes: 16 << 20,
			StopTimeout:    tomlstrict.NewDuration(30 * time.Second),

			MaxQueuedBytes:  1 << 20,
			MaxSessionNames: 2000,
			MaxSessionBytes: 4 << 20,
			StartupTimeout:  tomlstrict.NewDuration(10 * time.Second),
			MessageTimeout:  tomlstrict.NewDuration(2 * time.Minute),
			WriteTimeout:    tomlstrict.NewDuration(30 * time.Second),
		},
		Log:       Log{Level: "info"},
		Allowance: Allowance{Window: tomlstrict.NewDuration(5 * time.Second)},
	}
}
