package model

import (
	"slices"
	"time"
)

// MachineType is one entry of the cloud's catalogue.
type MachineType struct {
	Name             string
	Capacity         Resources
	CacheGB          float64
	FetchGBPerS      float64
	PricePerHour     float64
	SpotPricePerHour float64
	BootTime         time.Duration
	Zones            []string
}

// OfferedIn reports whether the type is offered in the zone.
func (t *MachineType) OfferedIn(zone string) bool { return slices.Contains(t.Zones, zone) }

// MachineInfo describes a machine as the cloud lists it and as its record keeps it.
type MachineInfo struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Booting, Failed        bool
	Age                    time.Duration
}

// Provisioning is a request for machines of one kind.
type Provisioning struct {
	Name       string // makes the request idempotent
	Type, Zone string
	Spot       bool
	Count      int
}
