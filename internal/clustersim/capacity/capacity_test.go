package capacity

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/glentiller/glentiller/internal/clustersim/scale"
)

// linearRuns returns a quantity and runs that lie exactly on a line: LeaderCores is 0.5 plus 0.001 per worker and
// 0.01 per task start a second.
func linearRuns() (Quantity, []scale.Result) {
	q := Quantity{
		Name:    "x",
		Loads:   []Load{Workers, Starts},
		Measure: func(r *scale.Result) float64 { return r.LeaderCores },
	}
	var runs []scale.Result
	for i, workers := range []int{1000, 2000, 4000, 8000, 8000} {
		starts := float64(100 * (i*i + 1))
		runs = append(runs, scale.Result{
			Workers:         2 * workers,
			Regions:         2,
			StartsPerSecond: 2 * starts,
			LeaderCores:     0.5 + 0.001*float64(workers) + 0.01*starts,
		})
	}
	return q, runs
}

func TestFitRecoversKnownLine(t *testing.T) {
	q, runs := linearRuns()
	line, err := Fit(q, runs)
	if err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	for name, value := range map[string]struct{ got, want float64 }{
		"intercept":        {line.Intercept, 0.5},
		"slope of workers": {line.Slopes[0], 0.001},
		"slope of starts":  {line.Slopes[1], 0.01},
		"largest residual": {line.MaxResidual, 0},
	} {
		if math.Abs(value.got-value.want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", name, value.got, value.want)
		}
	}
	value, extrapolated := line.At(Size{Loads: map[Load]float64{Workers: 4000, Starts: 100}})
	if math.Abs(value-5.5) > 1e-9 || extrapolated {
		t.Errorf("at 4000 workers: got %v, extrapolated %v; want 5.5, false", value, extrapolated)
	}
	if _, extrapolated := line.At(Size{Loads: map[Load]float64{Workers: 9000, Starts: 100}}); !extrapolated {
		t.Error("at 9000 workers: got extrapolated false, want true")
	}
}

func TestFitReportsResiduals(t *testing.T) {
	q, runs := linearRuns()
	runs[2].LeaderCores++
	line, err := Fit(q, runs)
	if err != nil || line.ResidualStdDev < 0.1 || line.MaxResidual < 0.1 {
		t.Errorf("got residuals %v and %v, error %v; want 0.1 or more for a run off the line",
			line.ResidualStdDev, line.MaxResidual, err)
	}
}

func TestFitRejectsRunsThatDetermineNoLine(t *testing.T) {
	q, runs := linearRuns()
	if _, err := Fit(q, runs[:3]); !errors.Is(err, ErrTooFewRuns) {
		t.Errorf("three runs for three coefficients: got %v, want %v", err, ErrTooFewRuns)
	}
	for i := range runs {
		runs[i].StartsPerSecond = float64(runs[i].Workers)
	}
	if _, err := Fit(q, runs); !errors.Is(err, ErrCollinearLoads) {
		t.Errorf("two loads in proportion: got %v, want %v", err, ErrCollinearLoads)
	}
}

func TestReadRejectsMalformedRuns(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"empty file":     {"", "no runs"},
		"truncated line": {"{\"workers\":10,\"regions\":1,\"seconds\":1}\n{", "runs.jsonl:2:"},
		"missing fields": {"{\"workers\":10}\n", "1: not a run"},
		"not JSON":       {"text\n", "invalid"},
		"wrong type":     {"{\"workers\":\"many\"}\n", "cannot unmarsh"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "runs.jsonl"), []byte(test.text), 0o644); err != nil {
				t.Fatal(err)
			}
			if _, err := Read(dir); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one with %q", err, test.want)
			}
		})
	}
}

func TestCapacityPageMatchesCommittedRuns(t *testing.T) {
	docs := filepath.Join("..", "..", "..", "docs")
	runs, err := Read(filepath.Join(docs, "capacity"))
	if err != nil {
		t.Fatal(err)
	}
	table, err := Table(runs)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(page), "<!-- table: go run ./cmd/clustersim capacity -->\n")
	got, _, end := strings.Cut(rest, "<!-- end of the table -->")
	if !ok || !end || strings.TrimSpace(got) != strings.TrimSpace(table) {
		t.Errorf("docs/CAPACITY.md: got the table\n%s\nwant what the committed runs give:\n%s", got, table)
	}
}
