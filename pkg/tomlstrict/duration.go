package tomlstrict

import "time"

// Duration is a time.Duration in the notation of Go: "250ms", "1m30s". It is a
// struct because the decoder would read a bare number into an integer type, as
// nanoseconds.
type Duration struct{ std time.Duration }

// NewDuration returns d as a Duration.
func NewDuration(d time.Duration) Duration { return Duration{std: d} }

// UnmarshalText reads the form that time.ParseDuration reads and refuses
// negative durations.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return Error.Wrap(err)
	}
	if v < 0 {
		return Error.New("duration %q is negative", text)
	}
	d.std = v
	return nil
}

// MarshalText writes the form that time.Duration writes.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.std.String()), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return d.std }
