package wire

import (
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// DecodeCatalog decodes the cloud's catalog of machine types. It skips types without a name or without CPUs: no task
// can be placed on them, and they must not make the rest of the catalog unusable. If no type is left, it returns an
// error.
func DecodeCatalog(b []byte) ([]model.MachineType, error) {
	types, err := decodeSingleField(b, cloudCatalog, readCatalog)
	if err == nil && len(types) == 0 {
		err = errors.New("machine catalog has no type with a name and CPUs")
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
	t.BootTime = secondsToDuration(min(max(bootSeconds, 0), maxAmount))
	return t, rest, err
}

// AppendProvisioning appends a request to provision machines.
func AppendProvisioning(b []byte, p model.Provisioning) []byte {
	b = msgp.AppendMapHeader(b, 5)
	b = appendString(b, cloudProvisioningName, p.Name)
	b = appendString(b, cloudMachineType, p.Type)
	b = appendString(b, cloudZone, p.Zone)
	b = appendBool(b, cloudSpot, p.Spot)
	return appendUint(b, cloudCount, uint64(p.Count))
}

// AppendMachineNames appends a request to release the named machines.
func AppendMachineNames(b []byte, names []string) []byte {
	return appendStrings(msgp.AppendMapHeader(b, 1), cloudMachines, names)
}

// DecodeMachineNames decodes a list of machine names: those in the response to a provisioning request, or those in a
// release request.
func DecodeMachineNames(b []byte) ([]string, error) {
	return decodeSingleField(b, cloudMachines, readStrings)
}

// DecodeMachineList decodes one page of the cloud's list of provisioned machines. more reports whether others follow.
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
		err = errors.New("listed machine has no name")
	}
	m.Failed = status == cloudStatusFailed
	m.Booting = status == cloudStatusBooting
	m.Age = time.Duration(max(ageSeconds, 0) * float64(time.Second))
	return m, rest, err
}
