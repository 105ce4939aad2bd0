package wire

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/glentiller/glentiller/internal/model"
)

// MaxBodyBytes is the published bound on the bodies of requests.
const MaxBodyBytes = 64 << 10

// The bounds on a submission. The one on tasks is published.
const (
	maxTasks        = 100_000
	maxNameLength   = 100 // of class and team
	maxImageLength  = 200
	maxMachineTypes = 64
)

// MalformedRules stands for rules that are no text. It is no valid rule, and so is
// refused, but only where constraints are in force.
const MalformedRules = "\x00"

// shapes maps the published names to shapes.
var shapes = map[string]model.Shape{
	"array":    model.Array,
	"ensemble": model.Gang,
	"daemon":   model.Service,
}

// priorities maps the published names to priorities.
var priorities = map[string]model.Priority{
	"critical": model.PriorityProduction,
	"urgent":   model.PriorityHigh,
	"standard": model.PriorityNormal,
	"idle":     model.PriorityLow,
}

// nameOf returns the published name of a value, or "".
func nameOf[T comparable](names map[string]T, v T) string {
	for name, value := range names {
		if value == v {
			return name
		}
	}
	return ""
}

// requiredJobFields lists the fields that a submission must have. Those that may be
// null may also be left out: jobMachineTypes, jobZone and jobDeadline.
var requiredJobFields = [...]string{
	jobID, jobClass, jobTeam, jobShape, jobPriority, jobTasks, jobCPU, jobGPU, jobMemory, jobSingleZone, jobSpread,
	jobAllowSpot, jobImage, jobImageSize, jobEstimatedRunTime, jobCheckpointInterval, jobCheckpointTime,
}

// DecodeJobID reads the id of a submitted job and nothing else: a known job is
// answered before its submission is validated.
func DecodeJobID(b []byte) (string, error) {
	id, err := decodeField(b, jobID, readString)
	if err == nil && !model.ValidJobID(id) {
		err = errors.New("ref is missing or not of the form")
	}
	return id, err
}

// DecodeJob reads and checks a submission.
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
			return nil, fmt.Errorf("%q is missing", name)
		}
	}
	if err := checkJob(s); err != nil {
		return nil, err
	}
	return s, nil
}

// checkJob checks what the single fields of a submission do not show.
func checkJob(s *model.Spec) error {
	switch {
	case !model.ValidJobID(s.ID):
		return errors.New("ref is not of the form")
	case s.Demand.CPU <= 0 && s.Demand.GPU <= 0:
		return errors.New("a task takes neither cores nor cards")
	case s.Class == "" || len(s.Class) > maxNameLength,
		s.Team == "" || len(s.Team) > maxNameLength,
		len(s.Image) > maxImageLength,
		len(s.MachineTypes) > maxMachineTypes:
		return errors.New("a text is empty or too long")
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
		return readName(b, shapes, &s.Shape)
	case jobPriority:
		return readName(b, priorities, &s.Priority)
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

// decodeJobAmount reads a field of a submission that is an amount or a duration.
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

// readName reads a value by its published name. The zero value has none.
func readName[T comparable](b []byte, names map[string]T, dst *T) ([]byte, bool, error) {
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
	*dst = seconds(s)
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

// readZone refuses an empty name, which would stand for any zone.
func readZone(b []byte, dst *string) ([]byte, bool, error) {
	rest, handled, err := readString(b, dst)
	if err == nil && *dst == "" {
		err = errEmptyValue
	}
	return rest, handled, err
}

// readDependencies reads a list of job ids, sorted and without duplicates.
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
			return rest, true, errors.New("not the id of a job")
		}
	}
	*dst = ids
	return rest, true, nil
}

// readRules reads the job's constraints. Rules that are no text matter only where
// constraints are in force, so they are no error here.
func readRules(b []byte, dst *string) ([]byte, bool, error) {
	if msgp.NextType(b) != msgp.StrType {
		*dst = MalformedRules
		return b, false, nil
	}
	return readString(b, dst)
}

// AppendJob appends a job in the form that users submit it in, without its
// dependencies.
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
