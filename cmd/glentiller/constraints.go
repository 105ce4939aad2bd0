package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/glentiller/glentiller/internal/constraint"
	"github.com/glentiller/glentiller/internal/model"
)

type explainCmd struct {
	adminFlags
	JSON bool   `help:"Write JSON."`
	Job  string `arg:"" help:"The job's id."`
}

// Run asks and writes.
func (c *explainCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	e, err := client.Explain(c.Job)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(e)
	}
	fmt.Printf("%s, class %s, team %s, rank %s: %d of %d tasks done, %d on machines, %d waiting\n", e.Job, e.Class, e.Team, e.Priority, e.Done, e.Tasks, e.OnMachines, e.Waiting)
	list := func(head string, lines []string) {
		for i, l := range lines {
			if i == 0 {
				fmt.Println(head)
			}
			fmt.Println("  " + l)
		}
	}
	list("Its rules:", e.Constraints)
	list("It waits because:", e.Reasons)
	var machines, placed []string
	for _, m := range e.Machines {
		machines = append(machines, fmt.Sprintf("%4d %s", m.Count, m.Reason))
	}
	for _, p := range e.Placements {
		placed = append(placed, fmt.Sprintf("task %d on %s (%s): %s", p.Task, p.Machine, p.Class, p.Reason))
	}
	list("Machines:", machines)
	list("On the way:", e.Coming)
	list("What would have to change:", e.Remedies)
	list("Placed:", placed)
	if more := e.OnMachines - len(e.Placements); more > 0 {
		fmt.Printf("  and %d more\n", more)
	}
	return nil
}

type constraintsCmd struct {
	Check constraintsCheckCmd `cmd:"" help:"Check rules against a catalogue: what may run such a job, or what excludes what."`
}

type constraintsCheckCmd struct {
	Catalog string   `required:"" placeholder:"FILE" help:"The answer of the cloud's catalogue, as JSON."`
	Zones   []string `placeholder:"A,B" help:"Only these zones; by default all that the catalogue names."`
	Shape   string   `enum:"array,ensemble,daemon" default:"array" help:"The job's shape (${enum})."`
	Rows    int      `default:"1" help:"Its tasks."`
	Cores   float64  `help:"CPUs of a task."`
	Cards   float64  `help:"GPUs of a task."`
	Memory  float64  `help:"GB of a task."`
	Breeds  []string `placeholder:"A,B" help:"Its machine types."`
	Field   string   `placeholder:"ZONE" help:"Its only zone."`
	NoSpot  bool     `help:"It may not use spot machines."`
	OneZone bool     `help:"All its tasks in one zone."`
	Scatter bool     `help:"At most half of its tasks in one zone."`
	Text    string   `arg:"" help:"The rules."`
}

// Run checks, as a submission is checked.
func (c *constraintsCheckCmd) Run() error {
	b, err := os.ReadFile(c.Catalog)
	if err != nil {
		return err
	}
	types, err := constraint.DecodeCatalog(b, c.Zones)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Catalog, err)
	}
	if c.Rows < 1 {
		return errors.New("--rows: from 1 on")
	}
	shape := map[string]model.Shape{"array": model.Array, "ensemble": model.Gang, "daemon": model.Service}[c.Shape]
	spec := &model.Spec{Shape: shape, Tasks: c.Rows, Demand: model.Resources{CPU: c.Cores, GPU: c.Cards, MemGB: c.Memory}, MachineTypes: c.Breeds, Zone: c.Field,
		AllowSpot: !c.NoSpot, SingleZone: c.OneZone, Spread: c.Scatter}
	set, err := constraint.Parse(c.Text)
	if err != nil {
		return err
	}
	if err := constraint.Check(set, spec, constraint.Environment{Types: types}); err != nil {
		return err
	}
	var may, not []string
	for _, class := range constraint.Classes(types) {
		by, ok := set.Allows(class)
		switch {
		case !ok:
			not = append(not, fmt.Sprintf("%s: %s", class, by))
		case !constraint.SpecAllows(spec, class):
			not = append(not, fmt.Sprintf("%s: the job's other fields", class))
		default:
			may = append(may, fmt.Sprintf("%s, wishes %+g (with the image %+g)", class, set.PreferenceWeight(class, false), set.PreferenceWeight(class, true)))
		}
	}
	fmt.Printf("May run it:\n  %s\n", strings.Join(may, "\n  "))
	if len(not) > 0 {
		fmt.Printf("May not:\n  %s\n", strings.Join(not, "\n  "))
	}
	return nil
}
