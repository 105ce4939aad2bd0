package connquota

// Occupancy is a measure of how many of the shared sockets are in use. Shared sockets are those that are not reserved
// for one class.
type Occupancy uint8

// The levels of occupancy.
const (
	Low  Occupancy = iota
	High           // users' connections are not kept alive between requests
	Full           // workers' connections are not kept alive either, and new users are rejected
)

// String returns the name of the level in the status of the controller and in its log.
func (o Occupancy) String() string { return [...]string{"roomy", "tight", "full"}[o] }

const (
	highThreshold = 0.80 // fraction of the shared sockets at which High begins
	fullThreshold = 0.93 // fraction of the shared sockets at which Full begins
	hysteresis    = 0.05 // a level ends only this far below its threshold
)

// next returns the level that follows o when the given fraction of the shared sockets is in use.
func (o Occupancy) next(fraction float64) Occupancy {
	switch {
	case fraction >= fullThreshold:
		return Full
	case fraction >= highThreshold && (o != Full || fraction < fullThreshold-hysteresis):
		return High
	case fraction < highThreshold-hysteresis, o == Full && fraction < highThreshold:
		return Low
	}
	return o
}
