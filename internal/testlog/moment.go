package testlog

import (
	"fmt"
	"time"
)

// moment is something that took a while.
type moment struct {
	begun time.Time
	took  time.Duration
}

func (m moment) String() string {
	return fmt.Sprintf("%s (at %s)", m.took.Round(100*time.Microsecond), m.begun.UTC().Format(time.RFC3339))
}
