package config

import "time"

// day is 24 hours, the largest unit of retention times and upper bounds.
const day = 24 * time.Hour

// Duration is a duration in the operators' file. Its text form is that of time.ParseDuration, such as 1.5s or 2m.
type Duration time.Duration

// UnmarshalText parses a duration. A number without a unit is an error, except 0.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// MarshalText returns the text form of the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
