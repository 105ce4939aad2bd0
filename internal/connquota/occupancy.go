package connquota

// Occupancy is a measure of how many of the shared sockets are in use. Shared sockets are those that are not reserved
// for one class.
type Occupancy uint8

// The levels of occupancy.
const (
	OccupancyLow  Occupancy = iota
	OccupancyHigh           // users' connections are not kept alive between requests
	OccupancyFull           // workers' connections are not kept alive either, and new users are rejected
)

// String returns the name of the level in the status of the controller and in its log.
func (o Occupancy) String() string { return [...]string{"roomy", "tight", "full"}[o] }

const (
	highThreshold = 0.80 // fraction of the shared sockets at which OccupancyHigh begins
	fullThreshold = 0.93 // fraction of the shared sockets at which OccupancyFull begins
	hysteresis    = 0.05 // a level ends only this far below its threshold
)

// next returns the level that follows o when the given fraction of the shared sockets is in use.
func (o Occupancy) next(fraction float64) Occupancy {
	switch {
	case fraction >= fullThreshold:
		return OccupancyFull
	case fraction >= highThreshold && (o != OccupancyFull || fraction < fullThreshold-hysteresis):
		return OccupancyHigh
	case fraction < highThreshold-hysteresis, o == OccupancyFull && fraction < highThreshold:
		return OccupancyLow
	}
	return o
}
