package capacity

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"

	"github.com/glentiller/glentiller/internal/clustersim/scale"
)

// Quantity is something that runs measure. Role, Name, Budget and Mechanism are columns of the table.
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
	Slopes      []float64        // in the order of Loads
	Points      int              // runs that it was fitted to
	Residual    float64          // standard deviation of the runs from the line
	MaxResidual float64          // the largest distance of a run from it
	MaxMeasured map[Load]float64 // the largest load of any run
}

// ErrTooFewRuns is returned where there are not more runs than a line has coefficients.
var ErrTooFewRuns = errors.New("fewer runs than the line has numbers")

// Fit fits a line to what runs have measured.
func Fit(q Quantity, runs []scale.Result) (Line, error) {
	line := Line{Quantity: q, Points: len(runs), MaxMeasured: map[Load]float64{}}
	coefficients := len(q.Loads) + 1
	if len(runs) <= coefficients {
		return line, fmt.Errorf("%s: %w: %d, %d", q.Name, ErrTooFewRuns, len(runs), coefficients)
	}
	loads, values := mat.NewDense(len(runs), coefficients, nil), mat.NewVecDense(len(runs), nil)
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
		residual := q.Measure(&runs[i]) - line.evaluate(func(l Load) float64 { return l.value(&runs[i]) })
		squares += residual * residual
		line.MaxResidual = max(line.MaxResidual, math.Abs(residual))
	}
	line.Residual = math.Sqrt(squares / float64(len(runs)-coefficients))
	return line, nil
}

// evaluate evaluates the line at some loads.
func (l *Line) evaluate(load func(Load) float64) float64 {
	v := l.Intercept
	for k, by := range l.Loads {
		v += l.Slopes[k] * load(by)
	}
	return v
}

// At evaluates the line at a size, and tells whether that is beyond all runs.
func (l *Line) At(s Size) (value float64, beyond bool) {
	for _, by := range l.Loads {
		beyond = beyond || s.Loads[by] > l.MaxMeasured[by]
	}
	return max(l.evaluate(func(by Load) float64 { return s.Loads[by] }), 0), beyond
}

// slope is the slope in a load as text; "": the quantity does not depend on it.
func (l *Line) slope(load Load) string {
	for k, own := range l.Loads {
		if own == load {
			return formatNumber(l.Slopes[k])
		}
	}
	return ""
}
