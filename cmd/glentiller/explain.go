package main

import (
	"fmt"
	"os"

	"github.com/glentiller/glentiller/internal/cli"
	"github.com/glentiller/glentiller/internal/reconciler"
)

type explainCmd struct {
	adminFlags
	JSON bool   `help:"Write JSON."`
	Job  string `arg:"" help:"The job's id."`
}

// Run prints why a job's tasks wait, and why the others are where they are.
func (c *explainCmd) Run() error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	explanation, err := client.Explain(c.Job)
	if err != nil {
		return err
	}
	if c.JSON {
		return cli.WriteJSON(os.Stdout, explanation)
	}
	printExplanation(explanation)
	return nil
}

func printExplanation(e *reconciler.Explanation) {
	fmt.Printf("%s, class %s, team %s, rank %s: %d of %d tasks done, %d on machines, %d waiting\n",
		e.Job, e.Class, e.Team, e.Priority, e.Done, e.Tasks, e.OnMachines, e.Waiting)
	var machines, placed []string
	for _, m := range e.Machines {
		machines = append(machines, fmt.Sprintf("%4d %s", m.Count, m.Reason))
	}
	for _, p := range e.Placements {
		placed = append(placed, fmt.Sprintf("task %d on %s (%s): %s", p.Task, p.Machine, p.Class, p.Reason))
	}
	printList("Its rules:", e.Constraints)
	printList("It waits because:", e.Reasons)
	printList("Machines:", machines)
	printList("On the way:", e.Coming)
	printList("What would have to change:", e.Remedies)
	printList("Placed:", placed)
	if more := e.OnMachines - len(e.Placements); more > 0 {
		fmt.Printf("  and %d more\n", more)
	}
}

// printList prints lines under a head, and nothing if there are none.
func printList(head string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Println(head)
	for _, line := range lines {
		fmt.Println("  " + line)
	}
}
