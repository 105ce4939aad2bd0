package constraint

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/glentiller/glentiller/internal/model"
)

// DecodeCatalog reads the cloud's answer to GET /catalog, written as JSON, with the given
// zones only; none: all that it names.
func DecodeCatalog(b []byte, zones []string) ([]model.MachineType, error) {
	var in struct {
		Breeds []struct {
			Label                     string
			Cores, Cards, MemoryGb    float64
			LocalGb, FetchGbPerS      float64
			Price, LowPrice, StartupS float64
			Fields                    []string
		}
	}
	if err := json.Unmarshal(b, &in); err != nil {
		return nil, err
	}
	var out []model.MachineType
	for _, t := range in.Breeds {
		fields := slices.DeleteFunc(t.Fields, func(z string) bool { return len(zones) > 0 && !slices.Contains(zones, z) })
		out = append(out, model.MachineType{Name: t.Label, Capacity: model.Resources{CPU: t.Cores, GPU: t.Cards, MemGB: t.MemoryGb}, CacheGB: t.LocalGb,
			FetchGBPerS: t.FetchGbPerS, PricePerHour: t.Price, SpotPricePerHour: t.LowPrice, BootTime: time.Duration(t.StartupS * float64(time.Second)), Zones: fields})
	}
	if len(Classes(out)) == 0 {
		return nil, errors.New("no machine type in any of the zones")
	}
	return out, nil
}
