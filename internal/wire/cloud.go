package wire

import (
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// DecodeCatalog reads the machine types. One without a name or CPUs is left out: nothing can be
// placed there, and it must not keep the others from being known.
func DecodeCatalog(b []byte) ([]model.MachineType, error) {
	var out []model.MachineType
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		if key != "breeds" {
			return b, false, nil
		}
		rest, err := eachItem(b, func(b []byte) ([]byte, error) {
			var t model.MachineType
			var boot float64
			rest, err := eachField(b, func(key string, b []byte) ([]byte, bool, error) {
				switch key {
				case "label":
					return readString(b, &t.Name)
				case "cores":
					return readFloat(b, &t.Capacity.CPU)
				case "cards":
					return readFloat(b, &t.Capacity.GPU)
				case "memoryGb":
					return readFloat(b, &t.Capacity.MemGB)
				case "localGb":
					return readFloat(b, &t.CacheGB)
				case "fetchGbPerS":
					return readFloat(b, &t.FetchGBPerS)
				case "price":
					return readFloat(b, &t.PricePerHour)
				case "lowPrice":
					return readFloat(b, &t.SpotPricePerHour)
				case "startupS":
					return readFloat(b, &boot)
				case "fields":
					return readStrings(b, &t.Zones)
				}
				return b, false, nil
			})
			t.BootTime = seconds(min(max(boot, 0), maxAmount))
			if t.Name != "" && t.Capacity.CPU > 0 {
				out = append(out, t)
			}
			return rest, err
		})
		return rest, true, err
	})
	if err == nil && len(out) == 0 {
		err = errors.New("a catalogue without a type that has a name and CPUs")
	}
	return out, err
}

// AppendProvisioning writes a rental request.
func AppendProvisioning(b []byte, r model.Provisioning) []byte {
	b = msgp.AppendMapHeader(b, 5)
	b = appendString(b, "hire", r.Name)
	b = appendString(b, "breed", r.Type)
	b = appendString(b, "field", r.Zone)
	b = appendBool(b, "loaners", r.Spot)
	return appendUint(b, "number", uint64(r.Count))
}

// AppendMachineNames writes the names of machines to return.
func AppendMachineNames(b []byte, names []string) []byte {
	b = msgp.AppendString(msgp.AppendMapHeader(b, 1), "tillers")
	b = msgp.AppendArrayHeader(b, uint32(len(names)))
	for _, n := range names {
		b = msgp.AppendString(b, n)
	}
	return b
}

// DecodeMachineNames reads the names of rented machines.
func DecodeMachineNames(b []byte) ([]string, error) {
	var out []string
	err := decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		if key == "tillers" {
			return readStrings(b, &out)
		}
		return b, false, nil
	})
	return out, err
}

// DecodeMachineList reads one page of the machine list.
func DecodeMachineList(b []byte) (out []model.MachineInfo, more bool, err error) {
	err = decodeMap(b, func(key string, b []byte) ([]byte, bool, error) {
		switch key {
		case "more":
			return readBool(b, &more)
		case "tillers":
			rest, err := eachItem(b, func(b []byte) ([]byte, error) {
				var m model.MachineInfo
				var status string
				var held float64
				rest, err := eachField(b, func(key string, b []byte) ([]byte, bool, error) {
					switch key {
					case "ref":
						return readString(b, &m.Name)
					case "addr":
						return readString(b, &m.Addr)
					case "breed":
						return readString(b, &m.Type)
					case "field":
						return readString(b, &m.Zone)
					case "loaners":
						return readBool(b, &m.Spot)
					case "status":
						return readString(b, &status)
					case "heldS":
						return readFloat(b, &held)
					}
					return b, false, nil
				})
				if err == nil && m.Name == "" {
					err = errors.New("a machine without name")
				}
				m.Failed, m.Booting, m.Age = status == "failed", status == "starting", time.Duration(max(held, 0)*float64(time.Second))
				out = append(out, m)
				return rest, err
			})
			return rest, true, err
		}
		return b, false, nil
	})
	return out, more, err
}
