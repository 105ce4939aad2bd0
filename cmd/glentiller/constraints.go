package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
)

type constraintsCmd struct {
	Check constraintsCheckCmd `cmd:"" help:"Check rules against a catalogue: what may run such a job, or what excludes what."`
}

// constraintsCheckCmd has the fields of a submission by their names on the wire.
type constraintsCheckCmd struct {
	Catalog      string   `required:"" placeholder:"FILE" help:"The answer of the cloud's catalogue, as JSON."`
	Zones        []string `placeholder:"A,B" help:"Only these zones; by default all that the catalogue names."`
	Shape        string   `enum:"array,ensemble,daemon" default:"array" help:"The job's shape (${enum})."`
	Tasks        int      `name:"rows" default:"1" help:"Its tasks."`
	CPUs         float64  `name:"cores" help:"CPUs of a task."`
	GPUs         float64  `name:"cards" help:"GPUs of a task."`
	MemoryGB     float64  `name:"memory" help:"GB of a task."`
	MachineTypes []string `name:"breeds" placeholder:"A,B" help:"Its machine types."`
	Zone         string   `name:"field" placeholder:"ZONE" help:"Its only zone."`
	NoSpot       bool     `help:"It may not use spot machines."`
	SingleZone   bool     `name:"one-zone" help:"All its tasks in one zone."`
	Spread       bool     `name:"scatter" help:"At most half of its tasks in one zone."`
	Text         string   `arg:"" help:"The rules."`
}

// shapes are the jobs' shapes by their names on the wire.
var shapes = map[string]model.Shape{"array": model.Array, "ensemble": model.Gang, "daemon": model.Service}

// Run checks constraints as a submission's are checked, and prints which machine classes they allow.
func (c *constraintsCheckCmd) Run() error {
	catalog, err := os.ReadFile(c.Catalog)
	if err != nil {
		return err
	}
	types, err := constraint.DecodeCatalog(catalog, c.Zones)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Catalog, err)
	}
	if c.Tasks < 1 {
		return errors.New("--rows: from 1 on")
	}
	spec := c.spec()
	set, err := constraint.Parse(c.Text)
	if err != nil {
		return err
	}
	if err := constraint.Check(set, spec, constraint.Environment{Types: types}); err != nil {
		return err
	}
	var allowed, excluded []string
	for _, class := range constraint.Classes(types) {
		by, ok := set.Allows(class)
		switch {
		case !ok:
			excluded = append(excluded, fmt.Sprintf("%s: %s", class, by))
		case !constraint.SpecAllows(spec, class):
			excluded = append(excluded, fmt.Sprintf("%s: the job's other fields", class))
		default:
			allowed = append(allowed, fmt.Sprintf("%s, wishes %+g (with the image %+g)",
				class, set.PreferenceWeight(class, false), set.PreferenceWeight(class, true)))
		}
	}
	fmt.Printf("May run it:\n  %s\n", strings.Join(allowed, "\n  "))
	if len(excluded) > 0 {
		fmt.Printf("May not:\n  %s\n", strings.Join(excluded, "\n  "))
	}
	return nil
}

// spec is the job that the flags describe.
func (c *constraintsCheckCmd) spec() *model.Spec {
	return &model.Spec{
		Shape:        shapes[c.Shape],
		Tasks:        c.Tasks,
		Demand:       model.Resources{CPU: c.CPUs, GPU: c.GPUs, MemGB: c.MemoryGB},
		MachineTypes: c.MachineTypes,
		Zone:         c.Zone,
		AllowSpot:    !c.NoSpot,
		SingleZone:   c.SingleZone,
		Spread:       c.Spread,
	}
}
