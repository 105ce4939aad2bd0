package wire

import (
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// DecodeCatalog reads the machine types. It leaves out types without a name or CPUs:
// nothing can be placed there, and they must not hide the others.
func DecodeCatalog(b []byte) ([]model.MachineType, error) {
	types, err := decodeField(b, cloudCatalog, readCatalog)
	if err == nil && len(types) == 0 {
		err = errors.New("a catalogue without a type that has a name and CPUs")
	}
	return types, err
}

func readCatalog(b []byte, dst *[]model.MachineType) ([]byte, bool, error) {
	rest, err := eachItem(b, func(b []byte) ([]byte, error) {
		t, rest, err := decodeMachineType(b)
		if t.Name != "" && t.Capacity.CPU > 0 {
			*dst = append(*dst, t)
		}
		return rest, err
	})
	return rest, true, err
}

func decodeMachineType(b []byte) (model.MachineType, []byte, error) {
	var t model.MachineType
	var bootSeconds float64
	rest, err := eachField(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case cloudTypeName:
			return readString(b, &t.Name)
		case cloudTypeCPU:
			return readFloat(b, &t.Capacity.CPU)
		case cloudTypeGPU:
			return readFloat(b, &t.Capacity.GPU)
		case cloudTypeMemory:
			return readFloat(b, &t.Capacity.MemGB)
		case cloudTypeCache:
			return readFloat(b, &t.CacheGB)
		case cloudTypeFetchRate:
			return readFloat(b, &t.FetchGBPerS)
		case cloudTypePrice:
			return readFloat(b, &t.PricePerHour)
		case cloudTypeSpotPrice:
			return readFloat(b, &t.SpotPricePerHour)
		case cloudTypeBootTime:
			return readFloat(b, &bootSeconds)
		case cloudTypeZones:
			return readStrings(b, &t.Zones)
		}
		return b, false, nil
	})
	t.BootTime = seconds(min(max(bootSeconds, 0), maxAmount))
	return t, rest, err
}

// AppendProvisioning appends a request for machines.
func AppendProvisioning(b []byte, p model.Provisioning) []byte {
	b = msgp.AppendMapHeader(b, 5)
	b = appendString(b, cloudProvisioningName, p.Name)
	b = appendString(b, cloudMachineType, p.Type)
	b = appendString(b, cloudZone, p.Zone)
	b = appendBool(b, cloudSpot, p.Spot)
	return appendUint(b, cloudCount, uint64(p.Count))
}

// AppendMachineNames appends the names of machines to release.
func AppendMachineNames(b []byte, names []string) []byte {
	return appendStrings(msgp.AppendMapHeader(b, 1), cloudMachines, names)
}

// DecodeMachineNames reads the names of provisioned machines.
func DecodeMachineNames(b []byte) ([]string, error) {
	return decodeField(b, cloudMachines, readStrings)
}

// DecodeMachineList reads one page of the list of machines.
func DecodeMachineList(b []byte) (machines []model.MachineInfo, more bool, err error) {
	err = decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case cloudMore:
			return readBool(b, &more)
		case cloudMachines:
			return readMachines(b, &machines)
		}
		return b, false, nil
	})
	return machines, more, err
}

func readMachines(b []byte, dst *[]model.MachineInfo) ([]byte, bool, error) {
	rest, err := eachItem(b, func(b []byte) ([]byte, error) {
		m, rest, err := decodeListedMachine(b)
		*dst = append(*dst, m)
		return rest, err
	})
	return rest, true, err
}

func decodeListedMachine(b []byte) (model.MachineInfo, []byte, error) {
	var m model.MachineInfo
	var status string
	var ageSeconds float64
	rest, err := eachField(b, func(name string, b []byte) ([]byte, bool, error) {
		switch name {
		case cloudMachineName:
			return readString(b, &m.Name)
		case cloudMachineAddr:
			return readString(b, &m.Addr)
		case cloudMachineType:
			return readString(b, &m.Type)
		case cloudZone:
			return readString(b, &m.Zone)
		case cloudSpot:
			return readBool(b, &m.Spot)
		case cloudMachineStatus:
			return readString(b, &status)
		case cloudMachineAge:
			return readFloat(b, &ageSeconds)
		}
		return b, false, nil
	})
	if err == nil && m.Name == "" {
		err = errors.New("a machine without name")
	}
	m.Failed = status == cloudStatusFailed
	m.Booting = status == cloudStatusBooting
	m.Age = time.Duration(max(ageSeconds, 0) * float64(time.Second))
	return m, rest, err
}
