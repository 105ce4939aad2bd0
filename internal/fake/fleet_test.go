package fake

import (
	"fmt"
	"testing"
	"time"

	"github.com/glentiller/glentiller/internal/control"
	"github.com/glentiller/glentiller/internal/model"
)

// fleet is a deployment of many machines whose leader knows them all, each with four tasks.
func fleet(b *testing.B, machines int) (*World, *Controller) {
	b.Helper()
	w := world(machines, float64(machines))
	w.Tick, w.Run, w.full = 250*time.Millisecond, time.Hour, true
	w.Pass(8 * second)
	s := job(model.Service, 4*machines, func(s *model.Spec) { s.Need.CPU, s.Rank = 2, model.Production })
	if err := w.Submit(w.Controllers[0], s); err != nil {
		b.Fatal(err)
	}
	w.Pass(time.Duration(machines) * 30 * time.Millisecond) // records of machines take a while to write
	l := w.Leader()
	if l == nil || on(w, s) != 4*machines {
		b.Fatalf("%d of %d tasks run", on(w, s), 4*machines)
	}
	return w, l
}

// What one report without news costs the leader's core, at different sizes.
func BenchmarkReport(b *testing.B) {
	for _, machines := range []int{500, 2000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			w, l := fleet(b, machines)
			k := w.Workers["n-000001"]
			b.ReportAllocs()
			for b.Loop() {
				l.Core.Step(w.now, control.ReportIn{Report: k.report()})
			}
		})
	}
}

// What 2,000 reports in one second cost a new leader that knows nothing yet, with the passes
// of that second.
func BenchmarkTwoThousandReportsInASecond(b *testing.B) {
	w, l := fleet(b, 2000)
	for b.Loop() {
		b.StopTimer()
		l.Crash()
		l.Start()
		for l = nil; l == nil; l = w.Leader() {
			for _, c := range w.Controllers {
				c.step()
			}
			w.now = w.now.Add(w.Tick)
		}
		b.StartTimer()
		for i, name := range w.names() {
			l.Core.Step(w.now, control.ReportIn{Report: w.Workers[name].report()})
			if i%200 == 199 {
				w.now = w.now.Add(100 * time.Millisecond)
				l.Core.Step(w.now, control.Tick{})
			}
		}
	}
}
