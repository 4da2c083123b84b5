package process_test

import "time"

// configRead is one read of the configuration.
type configRead struct {
	begun time.Time
	took  time.Duration
	err   error
}
