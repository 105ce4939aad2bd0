// Package capacity works out from runs of the scale play what each part of a deployment takes at other sizes: straight
// lines by least squares, with how far the runs lie off them. It reads no clock and measures nothing.
package capacity

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/gonum/mat"

	"github.com/glentiller/glentiller/internal/clustersim/scale"
)

// Load is what a quantity may grow with.
type Load uint8

// The loads: workers of a region, task starts a second in it, jobs a second in it, and teams.
const (
	Workers Load = iota
	Starts
	Jobs
	Teams
)

func (l Load) String() string { return [...]string{"worker", "start/s", "job/s", "team"}[l] }

// value is the load of a run, in one region.
func (l Load) value(r *scale.Result) float64 {
	regions := float64(r.Regions)
	switch l {
	case Workers:
		return float64(r.Workers) / regions
	case Starts:
		return r.Starts / regions
	case Jobs:
		return r.JobsPerS / regions
	}
	return float64(r.Teams)
}

// Size is a deployment that the lines are read at.
type Size struct {
	Name  string
	Loads map[Load]float64
}

// What the target means for one region. Jobs a second follow from the starts by an assumed mix of jobs.
const (
	targetWorkers = 21_000
	targetStarts  = 11_000
	targetTeams   = 140
	targetRegions = 5
	startsPerJob  = 120
)

// Sizes are a region of the mean size, one of twice that, and all in one.
func Sizes() []Size {
	size := func(name string, part float64) Size {
		return Size{
			name,
			map[Load]float64{
				Workers: part * targetWorkers,
				Starts:  part * targetStarts,
				Jobs:    part * targetStarts / startsPerJob,
				Teams:   targetTeams,
			},
		}
	}
	return []Size{size("a mean region", 1.0/targetRegions), size("twice that", 2.0/targetRegions), size("all in one", 1)}
}

// Quantity is something that runs measure.
type Quantity struct {
	Role, Name string
	Loads      []Load // what it grows with
	Measure    func(r *scale.Result) float64
	Digits     int
	Budget     string
	Mechanism  string
}

// Line is a quantity as a straight line in its loads.
type Line struct {
	Quantity
	Intercept   float64
	Slopes      []float64 // in the order of By
	Points      int
	Residual    float64          // standard deviation of the runs about the line
	MaxResidual float64          // the farthest that a run lies off it
	MaxMeasured map[Load]float64 // that was measured
}

var errTooFewRuns = errors.New("fewer runs than the line has numbers")

// Fit puts a line through what runs have measured.
func Fit(q Quantity, runs []scale.Result) (Line, error) {
	line := Line{Quantity: q, Points: len(runs), MaxMeasured: map[Load]float64{}}
	numbers := len(q.Loads) + 1
	if len(runs) <= numbers {
		return line, fmt.Errorf("%s: %w: %d, %d", q.Name, errTooFewRuns, len(runs), numbers)
	}
	loads, values := mat.NewDense(len(runs), numbers, nil), mat.NewVecDense(len(runs), nil)
	for i := range runs {
		loads.Set(i, 0, 1)
		for k, l := range q.Loads {
			loads.Set(i, k+1, l.value(&runs[i]))
			line.MaxMeasured[l] = max(line.MaxMeasured[l], l.value(&runs[i]))
		}
		values.SetVec(i, q.Measure(&runs[i]))
	}
	var solution mat.VecDense
	var qr mat.QR
	qr.Factorize(loads)
	if err := qr.SolveVecTo(&solution, false, values); err != nil {
		return line, fmt.Errorf("%s: the runs do not tell its loads apart: %w", q.Name, err)
	}
	line.Intercept = solution.AtVec(0)
	for k := range q.Loads {
		line.Slopes = append(line.Slopes, solution.AtVec(k+1))
	}
	var squares float64
	for i := range runs {
		off := q.Measure(&runs[i]) - line.evaluate(func(l Load) float64 { return l.value(&runs[i]) })
		squares += off * off
		line.MaxResidual = max(line.MaxResidual, math.Abs(off))
	}
	line.Residual = math.Sqrt(squares / float64(len(runs)-numbers))
	return line, nil
}

func (l *Line) evaluate(load func(Load) float64) float64 {
	v := l.Intercept
	for k, by := range l.Loads {
		v += l.Slopes[k] * load(by)
	}
	return v
}

// At reads the line at a size, and tells whether that lies beyond what ran.
func (l *Line) At(s Size) (value float64, beyond bool) {
	for _, by := range l.Loads {
		beyond = beyond || s.Loads[by] > l.MaxMeasured[by]
	}
	return max(l.evaluate(func(by Load) float64 { return s.Loads[by] }), 0), beyond
}

// Read reads the runs of all files of a folder whose names begin with "runs", one JSON object a line.
func Read(folder string) ([]scale.Result, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "runs*.jsonl"))
	if err != nil {
		return nil, err
	}
	var all []scale.Result
	for _, path := range paths {
		runs, err := readFile(path)
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: no runs*.jsonl with a run in it", folder)
	}
	return all, nil
}

const maxLineBytes = 1 << 20

func readFile(path string) ([]scale.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var runs []scale.Result
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		var r scale.Result
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		if r.Regions < 1 || r.Workers < 1 || r.Seconds <= 0 {
			return nil, fmt.Errorf("%s:%d: not a run", path, n)
		}
		runs = append(runs, r)
	}
	return runs, lines.Err()
}

// Table fits all quantities and writes them as a table in Markdown. Values beyond what ran have a mark.
func Table(runs []scale.Result) (string, error) {
	var b strings.Builder
	sizes := Sizes()
	b.WriteString("| role | quantity | intercept | per worker | per start/s | per job/s | residual | spread |")
	for _, s := range sizes {
		fmt.Fprintf(&b, " %s |", s.Name)
	}
	b.WriteString(" budget | mechanism |\n|" + strings.Repeat(" --- |", 10+len(sizes)) + "\n")
	for _, q := range Quantities() {
		line, err := Fit(q, runs)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(
			&b,
			"| %s | %s | %s | %s | %s | %s | %s | %s |",
			q.Role,
			q.Name,
			formatNumber(line.Intercept),
			line.slope(Workers),
			line.slope(Starts),
			line.slope(Jobs),
			formatNumber(line.Residual),
			formatNumber(line.MaxResidual),
		)
		for _, s := range sizes {
			value, beyond := line.At(s)
			mark := ""
			if beyond {
				mark = " *"
			}
			fmt.Fprintf(&b, " %.*f%s |", q.Digits, value, mark)
		}
		fmt.Fprintf(&b, " %s | %s |\n", q.Budget, q.Mechanism)
	}
	least, most := math.Inf(1), 0.0
	for i := range runs {
		least, most = min(least, Workers.value(&runs[i])), max(most, Workers.value(&runs[i]))
	}
	fmt.Fprintf(
		&b,
		"\n%d runs, %.0f to %.0f hollow workers in a region. \\* extrapolated: beyond the most workers, starts or jobs a second of any run.\n",
		len(runs),
		least,
		most,
	)
	return b.String(), nil
}

func (l *Line) slope(by Load) string {
	for k, of := range l.Loads {
		if of == by {
			return formatNumber(l.Slopes[k])
		}
	}
	return ""
}

// formatNumber writes a number with three digits that count.
func formatNumber(v float64) string { return fmt.Sprintf("%.3g", v) }
