package connquota

// Occupancy is how much of the sockets that the classes without a reserved quota share
// is in use.
type Occupancy uint8

// The levels of occupancy.
const (
	Low  Occupancy = iota
	High           // users' connections are not kept alive between requests
	Full           // nor are those of workers, and new users are rejected
)

// String returns the name of the level.
func (o Occupancy) String() string { return [...]string{"roomy", "tight", "full"}[o] }

const (
	highFrom   = 0.80 // of the shared sockets
	fullFrom   = 0.93
	hysteresis = 0.05 // a level is left only this far below where it begins
)

// next returns the level that follows on o when a fraction of the shared sockets is in
// use.
func (o Occupancy) next(fraction float64) Occupancy {
	switch {
	case fraction >= fullFrom:
		return Full
	case fraction >= highFrom && (o != Full || fraction < fullFrom-hysteresis):
		return High
	case fraction < highFrom-hysteresis, o == Full && fraction < highFrom:
		return Low
	}
	return o
}
