package constraint

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// ErrNoMachineType means that a catalog offers no machine type in any of the requested zones.
var ErrNoMachineType = errors.New("no machine type in any of the zones")

// DecodeCatalog decodes the machine types from the JSON body of the cloud's answer to GET /catalog. It removes all
// zones but those listed in zones; if zones is empty it keeps every zone. It returns ErrNoMachineType if no machine
// type is left that is offered in any zone.
func DecodeCatalog(data []byte, zones []string) ([]model.MachineType, error) {
	// The tags hold the names that the cloud uses. encoding/json matches them regardless of upper and lower case.
	var catalog struct {
		Types []struct {
			Name             string   `json:"Label"`
			CPU              float64  `json:"Cores"`
			GPU              float64  `json:"Cards"`
			MemGB            float64  `json:"MemoryGb"`
			CacheGB          float64  `json:"LocalGb"`
			FetchGBPerS      float64  `json:"FetchGbPerS"`
			PricePerHour     float64  `json:"Price"`
			SpotPricePerHour float64  `json:"LowPrice"`
			BootSeconds      float64  `json:"StartupS"`
			Zones            []string `json:"Fields"`
		} `json:"Breeds"`
	}
	if err := json.Unmarshal(data, &catalog); err != nil {
		return nil, err
	}
	var types []model.MachineType
	for _, entry := range catalog.Types {
		types = append(types, model.MachineType{
			Name:             entry.Name,
			Capacity:         model.Resources{CPU: entry.CPU, GPU: entry.GPU, MemGB: entry.MemGB},
			CacheGB:          entry.CacheGB,
			FetchGBPerS:      entry.FetchGBPerS,
			PricePerHour:     entry.PricePerHour,
			SpotPricePerHour: entry.SpotPricePerHour,
			BootTime:         time.Duration(entry.BootSeconds * float64(time.Second)),
			Zones:            restrictZones(entry.Zones, zones),
		})
	}
	if len(MachineClasses(types)) == 0 {
		return nil, ErrNoMachineType
	}
	return types, nil
}

// restrictZones removes the zones that are not in wanted, modifying zones in place. It keeps every zone if wanted is
// empty.
func restrictZones(zones, wanted []string) []string {
	return slices.DeleteFunc(zones, func(zone string) bool {
		return len(wanted) > 0 && !slices.Contains(wanted, zone)
	})
}
