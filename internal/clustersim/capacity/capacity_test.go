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

func TestFitRecoversKnownLine(t *testing.T) {
	q := Quantity{
		Name:    "x",
		Loads:   []Load{Workers, Starts},
		Measure: func(r *scale.Result) float64 { return r.LeaderCores },
	}
	var runs []scale.Result
	for i, workers := range []int{1000, 2000, 4000, 8000, 8000} {
		starts := float64(100 * (i*i + 1))
		runs = append(
			runs,
			scale.Result{
				Workers:     2 * workers,
				Regions:     2,
				Starts:      2 * starts,
				LeaderCores: 0.5 + 0.001*float64(workers) + 0.01*starts,
			},
		)
	}
	line, err := Fit(q, runs)
	if err != nil || math.Abs(line.Intercept-0.5) > 1e-9 || math.Abs(line.Slopes[0]-0.001) > 1e-9 ||
		math.Abs(line.Slopes[1]-0.01) > 1e-9 ||
		line.MaxResidual > 1e-9 {
		t.Errorf("line: got %+v, %v, want 0.5 + 0.001 for each worker + 0.01 for each start", line, err)
	}
	if v, beyond := line.At(Size{Loads: map[Load]float64{Workers: 4000, Starts: 100}}); math.Abs(v-5.5) > 1e-9 || beyond {
		t.Errorf("value: got %v, beyond all runs %v, want 5.5 and false", v, beyond)
	}
	if _, beyond := line.At(Size{Loads: map[Load]float64{Workers: 9000, Starts: 100}}); !beyond {
		t.Error("more workers than in any run: got a value within the runs, want it marked as beyond")
	}
	runs[2].LeaderCores++
	if line, err = Fit(q, runs); err != nil || line.Residual < 0.1 || line.MaxResidual < 0.1 {
		t.Errorf("residual with a run off the line: got %v, %v, want 0.1 at least", line.Residual, err)
	}
	if _, err := Fit(q, runs[:3]); !errors.Is(err, ErrTooFewRuns) {
		t.Errorf("three runs for three coefficients: got %v, want %v", err, ErrTooFewRuns)
	}
	for i := range runs {
		runs[i].Starts = float64(runs[i].Workers)
	}
	if _, err := Fit(q, runs); err == nil {
		t.Error("loads that the runs do not tell apart: got a line, want an error")
	}
}

func TestReadRejectsMalformedRuns(t *testing.T) {
	for want, text := range map[string]string{
		"no runs":        "",
		"runs.jsonl:2:":  "{\"workers\":10,\"regions\":1,\"seconds\":1}\n{",
		"1: not a run":   "{\"workers\":10}\n",
		"invalid":        "text\n",
		"cannot unmarsh": "{\"workers\":\"many\"}\n",
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "runs.jsonl"), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(dir); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// The table on the page is the one that the committed runs give, byte by byte.
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
		t.Errorf("docs/CAPACITY.md does not hold the table that the runs give:\n%s", table)
	}
}
