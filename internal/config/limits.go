package config

// bytesPerKB converts limits on the size of values.
const bytesPerKB = 1024

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// The limits that are kept where the platform states none.
var defaultStateLimits = StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 8, TxnOps: 12}

const defaultCloudRPS = 1.0

// StateLimits returns the limits to keep within: the smaller of the present and the
// upcoming ones, since the change comes without notice. A limit that is 0 or missing
// is not stated, which must not keep a controller from starting: a modest one is
// assumed, and refusals of the service are obeyed in any case.
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

// valueKB returns the present limit on values, whatever the upcoming one is.
func (p *Platform) valueKB() float64 {
	v := p.Deployment.State.ValueKB
	setDefault(&v, defaultStateLimits.ValueKB)
	return v
}

// CloudRPS returns how many requests a second the cloud takes of all controllers.
func (p *Platform) CloudRPS() float64 {
	rps := p.Deployment.Cloud.RPS
	setDefault(&rps, defaultCloudRPS)
	return rps
}

// setDefault sets a limit that is not stated.
func setDefault[N int | float64](limit *N, value N) {
	if *limit == 0 {
		*limit = value
	}
}

// lowerTo lowers a limit to an upcoming one, if that is stated.
func lowerTo[N int | float64](limit *N, next N) {
	if next > 0 && next < *limit {
		*limit = next
	}
}
