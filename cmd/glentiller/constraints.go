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
	Check constraintsCheckCmd `cmd:"" help:"Check the rules of a job against a catalog: print which machines can run it, or which rules contradict each other."`
}

// constraintsCheckCmd takes a job as flags. The flags have the names that the fields of a submission have on the
// wire.
type constraintsCheckCmd struct {
	Catalog      string   `required:"" placeholder:"FILE" help:"Machine catalog, the response of the cloud to GET /catalog as JSON."`
	Zones        []string `placeholder:"A,B" help:"Zones to consider (default: all zones in the catalog)."`
	Shape        string   `enum:"array,ensemble,daemon" default:"array" help:"Shape of the job (${enum})."`
	Tasks        int      `name:"rows" default:"1" help:"Number of tasks."`
	CPUs         float64  `name:"cores" help:"CPUs per task."`
	GPUs         float64  `name:"cards" help:"GPUs per task."`
	MemoryGB     float64  `name:"memory" help:"Memory per task, in GB."`
	MachineTypes []string `name:"breeds" placeholder:"A,B" help:"Machine types that the job may use (default: all)."`
	Zone         string   `name:"field" placeholder:"ZONE" help:"Zone that the job must run in (default: any)."`
	NoSpot       bool     `help:"The job may not use spot instances."`
	SingleZone   bool     `name:"one-zone" help:"All tasks must run in one zone."`
	Spread       bool     `name:"scatter" help:"At most half of the tasks may run in one zone."`
	Text         string   `arg:"" help:"The rules, in the language of docs/constraints.md."`
}

// shapes maps the names of job shapes on the wire to the shapes.
var shapes = map[string]model.Shape{"array": model.Array, "ensemble": model.Gang, "daemon": model.Service}

// Run checks the constraints in the same way as those of a submission, and prints which machine classes they allow. It
// returns an error if no machine class can run the job.
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
		return errors.New("--rows must be at least 1")
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
	for _, class := range constraint.MachineClasses(types) {
		violated, ok := set.Allows(class)
		switch {
		case !ok:
			excluded = append(excluded, fmt.Sprintf("%s: %s", class, violated))
		case !constraint.SpecAllows(spec, class):
			excluded = append(excluded, fmt.Sprintf("%s: excluded by the job's other fields", class))
		default:
			allowed = append(allowed, fmt.Sprintf("%s, preference weight %+g (%+g with the image)",
				class, set.PreferenceWeight(class, false), set.PreferenceWeight(class, true)))
		}
	}
	fmt.Printf("Machine classes that can run the job:\n  %s\n", strings.Join(allowed, "\n  "))
	if len(excluded) > 0 {
		fmt.Printf("Machine classes that cannot:\n  %s\n", strings.Join(excluded, "\n  "))
	}
	return nil
}

// spec returns the specification of the job that the flags describe.
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
