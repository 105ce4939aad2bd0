package main

import (
	"fmt"
	"os"

	"github.com/glentiller/glentiller/internal/cli"
	"github.com/glentiller/glentiller/internal/reconciler"
)

type explainCmd struct {
	adminFlags
	JSON bool   `help:"Print JSON."`
	Job  string `arg:"" help:"ID of the job."`
}

// Run prints why tasks of a job are waiting, and why its placed tasks are on their machines.
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
	fmt.Printf("%s, class %s, team %s, priority %s: %d of %d tasks done, %d on machines, %d waiting\n",
		e.Job, e.Class, e.Team, e.Priority, e.Done, e.Tasks, e.OnMachines, e.Waiting)
	var machines, placed []string
	for _, m := range e.Machines {
		machines = append(machines, fmt.Sprintf("%4d %s", m.Count, m.Reason))
	}
	for _, p := range e.Placements {
		placed = append(placed, fmt.Sprintf("task %d on %s (%s): %s", p.Task, p.Machine, p.Class, p.Reason))
	}
	printList("Rules:", e.Constraints)
	printList("Reasons for waiting:", e.Reasons)
	printList("Machines:", machines)
	printList("Incoming machines:", e.Incoming)
	printList("Changes that would let tasks start:", e.Remedies)
	printList("Placed tasks:", placed)
	if more := e.OnMachines - len(e.Placements); more > 0 {
		fmt.Printf("  and %d more\n", more)
	}
}

// printList prints lines under a heading. It prints nothing if there are no lines.
func printList(heading string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Println(heading)
	for _, line := range lines {
		fmt.Println("  " + line)
	}
}
