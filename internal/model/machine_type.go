package model

import (
	"slices"
	"time"
)

// MachineType is an entry of the cloud's catalog of machine types.
type MachineType struct {
	Name             string
	Capacity         Resources
	CacheGB          float64       // size of the image cache
	FetchGBPerS      float64       // rate at which images are fetched; 0 if it is not known
	PricePerHour     float64       // of an on-demand machine
	SpotPricePerHour float64       // of a spot machine
	BootTime         time.Duration // expected time until a provisioned machine is ready
	Zones            []string      // zones in which the type is offered
}

// OfferedIn reports whether the type is offered in the zone.
func (t *MachineType) OfferedIn(zone string) bool { return slices.Contains(t.Zones, zone) }

// MachineInfo describes a machine as listed by the cloud or as stored in its record. Booting, Failed and Age come
// from the cloud and are zero in records.
type MachineInfo struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Booting, Failed        bool
	Age                    time.Duration // time since it was provisioned
}

// Provisioning is a request to the cloud for machines of the same type and zone.
type Provisioning struct {
	Name       string // idempotency key: a repeated request with the same name provisions no further machines
	Type, Zone string
	Spot       bool
	Count      int // number of machines
}
