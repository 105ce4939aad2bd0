package config

import "time"

const day = 24 * time.Hour

// Duration is a duration as operators write it, such as 1.5s or 2m.
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText writes a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
