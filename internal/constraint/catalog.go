package constraint

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// ErrNoMachineType says that a catalog offers no machine type in any of the zones asked for.
var ErrNoMachineType = errors.New("no machine type in any of the zones")

// DecodeCatalog reads the cloud's answer to GET /catalog, as JSON, restricted to some zones; none: all that it names.
func DecodeCatalog(b []byte, zones []string) ([]model.MachineType, error) {
	// The tags are the cloud's names, which JSON matches in upper or lower case.
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
	if err := json.Unmarshal(b, &catalog); err != nil {
		return nil, err
	}
	var types []model.MachineType
	for _, t := range catalog.Types {
		types = append(types, model.MachineType{
			Name:             t.Name,
			Capacity:         model.Resources{CPU: t.CPU, GPU: t.GPU, MemGB: t.MemGB},
			CacheGB:          t.CacheGB,
			FetchGBPerS:      t.FetchGBPerS,
			PricePerHour:     t.PricePerHour,
			SpotPricePerHour: t.SpotPricePerHour,
			BootTime:         time.Duration(t.BootSeconds * float64(time.Second)),
			Zones:            restrict(t.Zones, zones),
		})
	}
	if len(Classes(types)) == 0 {
		return nil, ErrNoMachineType
	}
	return types, nil
}

// restrict removes the zones that are not among the wanted ones, in place; none are wanted: it keeps all.
func restrict(zones, wanted []string) []string {
	return slices.DeleteFunc(zones, func(zone string) bool {
		return len(wanted) > 0 && !slices.Contains(wanted, zone)
	})
}
