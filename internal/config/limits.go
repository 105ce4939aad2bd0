package config

// bytesPerKB is the size of a KB in the limits on values.
const bytesPerKB = 1024

// StateLimits holds the limits of the state service. In the platform's file, 0 means that a limit is not stated.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second of all controllers together
	WriteRPS float64 `toml:"write_rps"` // writes per second of all controllers together
	ValueKB  float64 `toml:"value_kb"`  // size of a value, in KB of 1024 bytes
	TxnOps   int     `toml:"txn_ops"`   // operations in one transaction
}

// defaultStateLimits replaces limits that the platform does not state.
var defaultStateLimits = StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 8, TxnOps: 12}

// defaultCloudRPS replaces the limit on requests to the cloud, per second, if the platform does not state one.
const defaultCloudRPS = 1.0

// StateLimits returns the limits that the controllers must observe: the smaller of the present and the upcoming
// ones, because the switch to the upcoming limits happens without notice. A limit that is 0 or missing in the file
// is not stated. This must not prevent a controller from starting, so a modest default applies. The controllers
// respect refusals of the service in any case.
func (p *Platform) StateLimits() StateLimits {
	l, next := p.Deployment.State.StateLimits, p.Deployment.State.Next
	setDefault(&l.RPS, defaultStateLimits.RPS)
	setDefault(&l.WriteRPS, defaultStateLimits.WriteRPS)
	setDefault(&l.ValueKB, defaultStateLimits.ValueKB)
	setDefault(&l.TxnOps, defaultStateLimits.TxnOps)
	lowerTo(&l.RPS, next.RPS)
	lowerTo(&l.WriteRPS, next.WriteRPS)
	lowerTo(&l.ValueKB, next.ValueKB)
	lowerTo(&l.TxnOps, next.TxnOps)
	return l
}

// valueKB returns the present limit on the size of a value, in KB. It ignores the upcoming limit.
func (p *Platform) valueKB() float64 {
	v := p.Deployment.State.ValueKB
	setDefault(&v, defaultStateLimits.ValueKB)
	return v
}

// CloudRPS returns the limit on requests to the cloud, per second, of all controllers together.
func (p *Platform) CloudRPS() float64 {
	rps := p.Deployment.Cloud.RPS
	setDefault(&rps, defaultCloudRPS)
	return rps
}

// setDefault sets a limit that is not stated (0) to value.
func setDefault[N int | float64](limit *N, value N) {
	if *limit == 0 {
		*limit = value
	}
}

// lowerTo lowers a limit to next, the upcoming one, if that is stated (above 0) and smaller.
func lowerTo[N int | float64](limit *N, next N) {
	if next > 0 && next < *limit {
		*limit = next
	}
}
