package wire

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// MaxBodyBytes is the published limit on the size of a request body.
const MaxBodyBytes = 64 << 10

// Limits on a submission. maxTasks is published. The lengths are in bytes.
const (
	maxTasks        = 100_000
	maxNameLength   = 100 // of the class and of the team
	maxImageLength  = 200
	maxMachineTypes = 64
)

// MalformedRules stands for constraints that are not a string. It is not a valid constraint text, so a job with it is
// rejected, but only if the constraints feature is in force.
const MalformedRules = "\x00"

// shapes maps the published names of job shapes to their values.
var shapes = map[string]model.Shape{
	"array":    model.Array,
	"ensemble": model.Gang,
	"daemon":   model.Service,
}

// priorities maps the published names of priorities to their values.
var priorities = map[string]model.Priority{
	"critical": model.PriorityProduction,
	"urgent":   model.PriorityHigh,
	"standard": model.PriorityNormal,
	"idle":     model.PriorityLow,
}

// nameOf returns the published name of a value, or "" if it has none.
func nameOf[T comparable](names map[string]T, v T) string {
	for name, value := range names {
		if value == v {
			return name
		}
	}
	return ""
}

// requiredJobFields lists the fields that a submission must have. The others are optional: jobMachineTypes, jobZone and
// jobDeadline are published as nullable, and null means the same as an absent field; jobDependencies and jobRules
// are additions of later versions.
var requiredJobFields = [...]string{
	jobID, jobClass, jobTeam, jobShape, jobPriority, jobTasks, jobCPU, jobGPU, jobMemory, jobSingleZone, jobSpread,
	jobAllowSpot, jobImage, jobImageSize, jobEstimatedRunTime, jobCheckpointInterval, jobCheckpointTime,
}

// DecodeJobID decodes only the job ID of a submission: if the job is known already, the submission is answered without
// validating the rest of it.
func DecodeJobID(b []byte) (string, error) {
	id, err := decodeSingleField(b, jobID, readString)
	if err == nil && !model.ValidJobID(id) {
		err = errors.New("ref is missing or not a valid job ID")
	}
	return id, err
}

// DecodeJob decodes and validates a submission. It is also used for the job in an active-job record.
func DecodeJob(b []byte) (*model.Spec, error) {
	s := &model.Spec{}
	seen := map[string]bool{}
	err := decodeMap(b, func(name string, b []byte) ([]byte, bool, error) {
		seen[name] = true
		return decodeJobField(s, name, b)
	})
	if err != nil {
		return nil, err
	}
	for _, name := range requiredJobFields {
		if !seen[name] {
			return nil, fmt.Errorf("field %q is missing", name)
		}
	}
	if err := validateJob(s); err != nil {
		return nil, err
	}
	return s, nil
}

// validateJob checks the job ID, that a task requests CPUs or GPUs, and the lengths of the strings and of the list of
// machine types.
func validateJob(s *model.Spec) error {
	switch {
	case !model.ValidJobID(s.ID):
		return errors.New("ref is not a valid job ID")
	case s.Demand.CPU <= 0 && s.Demand.GPU <= 0:
		return errors.New("a task requests neither cores nor cards")
	case s.Class == "" || len(s.Class) > maxNameLength,
		s.Team == "" || len(s.Team) > maxNameLength,
		len(s.Image) > maxImageLength,
		len(s.MachineTypes) > maxMachineTypes:
		return errors.New("jobclass, owner, seed or breeds is empty or too long")
	}
	return nil
}

func decodeJobField(s *model.Spec, name string, b []byte) ([]byte, bool, error) {
	switch name {
	case jobID:
		return readString(b, &s.ID)
	case jobClass:
		return readString(b, &s.Class)
	case jobTeam:
		return readString(b, &s.Team)
	case jobImage:
		return readString(b, &s.Image)
	case jobShape:
		return readEnum(b, shapes, &s.Shape)
	case jobPriority:
		return readEnum(b, priorities, &s.Priority)
	case jobTasks:
		return readTaskCount(b, &s.Tasks)
	case jobSingleZone:
		return readBool(b, &s.SingleZone)
	case jobSpread:
		return readBool(b, &s.Spread)
	case jobAllowSpot:
		return readBool(b, &s.AllowSpot)
	case jobMachineTypes:
		return readMachineTypes(b, &s.MachineTypes)
	case jobZone:
		return readZone(b, &s.Zone)
	case jobDependencies:
		return readDependencies(b, &s.Dependencies)
	case jobRules:
		return readRules(b, &s.Rules)
	}
	return decodeJobAmount(s, name, b)
}

// decodeJobAmount decodes a field of a submission if it is an amount or a duration.
func decodeJobAmount(s *model.Spec, name string, b []byte) ([]byte, bool, error) {
	switch name {
	case jobCPU:
		return readAmount(b, &s.Demand.CPU)
	case jobGPU:
		return readAmount(b, &s.Demand.GPU)
	case jobMemory:
		return readAmount(b, &s.Demand.MemGB)
	case jobImageSize:
		return readAmount(b, &s.ImageGB)
	case jobEstimatedRunTime:
		return readDuration(b, &s.EstimatedRunTime)
	case jobCheckpointInterval:
		return readDuration(b, &s.CheckpointInterval)
	case jobCheckpointTime:
		return readDuration(b, &s.CheckpointTime)
	case jobDeadline:
		return readDuration(b, &s.Deadline)
	}
	return b, false, nil
}

// readEnum reads the published name of a value and stores the value in dst. An unknown name is an error.
func readEnum[T comparable](b []byte, names map[string]T, dst *T) ([]byte, bool, error) {
	var name string
	rest, handled, err := readString(b, &name)
	value, known := names[name]
	if err == nil && !known {
		err = errUnknownValue
	}
	*dst = value
	return rest, handled, err
}

func readTaskCount(b []byte, dst *int) ([]byte, bool, error) {
	var n uint64
	rest, handled, err := readUint(b, &n)
	if err == nil && (n < 1 || n > maxTasks) {
		err = errOutOfRange
	}
	*dst = int(n)
	return rest, handled, err
}

func readAmount(b []byte, dst *float64) ([]byte, bool, error) {
	rest, handled, err := readFloat(b, dst)
	if err == nil && (*dst < 0 || *dst > maxAmount) {
		err = errOutOfRange
	}
	return rest, handled, err
}

func readDuration(b []byte, dst *time.Duration) ([]byte, bool, error) {
	var s float64
	rest, handled, err := readAmount(b, &s)
	*dst = secondsToDuration(s)
	return rest, handled, err
}

func readMachineTypes(b []byte, dst *[]string) ([]byte, bool, error) {
	*dst = nil
	rest, handled, err := readStrings(b, dst)
	if err == nil && len(*dst) == 0 {
		err = errEmptyValue
	}
	return rest, handled, err
}

// readZone reads the name of a zone. It must not be empty, because an empty Spec.Zone means any zone.
func readZone(b []byte, dst *string) ([]byte, bool, error) {
	rest, handled, err := readString(b, dst)
	if err == nil && *dst == "" {
		err = errEmptyValue
	}
	return rest, handled, err
}

// readDependencies reads a list of job IDs. It sorts the list and removes duplicates.
func readDependencies(b []byte, dst *[]string) ([]byte, bool, error) {
	var ids []string
	rest, _, err := readStrings(b, &ids)
	if err != nil {
		return rest, true, err
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	for _, id := range ids {
		if !model.ValidJobID(id) {
			return rest, true, errors.New("not a valid job ID")
		}
	}
	*dst = ids
	return rest, true, nil
}

// readRules reads the job's constraints. It stores MalformedRules if they are not a string. That is not an error
// here, because the constraints matter only if the constraints feature is in force.
func readRules(b []byte, dst *string) ([]byte, bool, error) {
	if msgp.NextType(b) != msgp.StrType {
		*dst = MalformedRules
		return b, false, nil
	}
	return readString(b, dst)
}

// AppendJob appends a job in the encoding of a submission, but without its dependencies.
func AppendJob(b []byte, s *model.Spec) []byte {
	n := len(requiredJobFields)
	for _, present := range [...]bool{len(s.MachineTypes) > 0, s.Zone != "", s.Deadline > 0, s.Rules != ""} {
		if present {
			n++
		}
	}
	b = msgp.AppendMapHeader(b, uint32(n))
	b = appendString(b, jobID, s.ID)
	b = appendString(b, jobClass, s.Class)
	b = appendString(b, jobTeam, s.Team)
	b = appendString(b, jobShape, nameOf(shapes, s.Shape))
	b = appendString(b, jobPriority, nameOf(priorities, s.Priority))
	b = appendUint(b, jobTasks, uint64(s.Tasks))
	b = appendFloat(b, jobCPU, s.Demand.CPU)
	b = appendFloat(b, jobGPU, s.Demand.GPU)
	b = appendFloat(b, jobMemory, s.Demand.MemGB)
	b = appendBool(b, jobSingleZone, s.SingleZone)
	b = appendBool(b, jobSpread, s.Spread)
	b = appendBool(b, jobAllowSpot, s.AllowSpot)
	b = appendString(b, jobImage, s.Image)
	b = appendFloat(b, jobImageSize, s.ImageGB)
	b = appendFloat(b, jobEstimatedRunTime, s.EstimatedRunTime.Seconds())
	b = appendFloat(b, jobCheckpointInterval, s.CheckpointInterval.Seconds())
	b = appendFloat(b, jobCheckpointTime, s.CheckpointTime.Seconds())
	if len(s.MachineTypes) > 0 {
		b = appendStrings(b, jobMachineTypes, s.MachineTypes)
	}
	if s.Zone != "" {
		b = appendString(b, jobZone, s.Zone)
	}
	if s.Deadline > 0 {
		b = appendFloat(b, jobDeadline, s.Deadline.Seconds())
	}
	if s.Rules != "" {
		b = appendString(b, jobRules, s.Rules)
	}
	return b
}
