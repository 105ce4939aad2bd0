package capacity

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"

	"github.com/glentiller/glentiller/internal/clustersim/scale"
)

// Errors of Fit.
var (
	// ErrTooFewRuns means that there are not more runs than coefficients, so that no residual can be computed.
	ErrTooFewRuns = errors.New("too few runs for the number of coefficients")
	// ErrCollinearLoads means that the loads of the runs are linearly dependent, or nearly so, and that the coefficients
	// are therefore not determined.
	ErrCollinearLoads = errors.New("loads of the runs are collinear")
)

// Line is a quantity as a fitted linear function of its loads.
type Line struct {
	Quantity
	Intercept      float64
	Slopes         []float64 // in the order of Quantity.Loads
	RunCount       int
	ResidualStdDev float64          // residual standard deviation of the runs
	MaxResidual    float64          // largest absolute residual of a run
	MaxLoads       map[Load]float64 // largest value of each load in any run; At extrapolates beyond it
}

// Fit fits a line to the measurements of runs by ordinary least squares. It returns ErrTooFewRuns unless there are
// more runs than coefficients (the intercept and one slope per load), and ErrCollinearLoads if the runs do not
// determine the coefficients.
func Fit(q Quantity, runs []scale.Result) (Line, error) {
	line := Line{Quantity: q, RunCount: len(runs), MaxLoads: map[Load]float64{}}
	coefficients := len(q.Loads) + 1
	if len(runs) <= coefficients {
		return line, fmt.Errorf("%s: %w: got %d runs, want more than %d", q.Name, ErrTooFewRuns, len(runs), coefficients)
	}
	designMatrix := mat.NewDense(len(runs), coefficients, nil)
	values := mat.NewVecDense(len(runs), nil)
	for i := range runs {
		designMatrix.Set(i, 0, 1)
		for loadIndex, load := range q.Loads {
			value := load.value(&runs[i])
			designMatrix.Set(i, loadIndex+1, value)
			line.MaxLoads[load] = max(line.MaxLoads[load], value)
		}
		values.SetVec(i, q.Measure(&runs[i]))
	}
	var solution mat.VecDense
	var qr mat.QR
	qr.Factorize(designMatrix)
	if err := qr.SolveVecTo(&solution, false, values); err != nil {
		return line, fmt.Errorf("%s: %w: %w", q.Name, ErrCollinearLoads, err)
	}
	line.Intercept = solution.AtVec(0)
	for loadIndex := range q.Loads {
		line.Slopes = append(line.Slopes, solution.AtVec(loadIndex+1))
	}
	line.computeResiduals(runs, coefficients)
	return line, nil
}

// computeResiduals sets ResidualStdDev and MaxResidual. coefficients is the number of fitted coefficients, which
// reduces the degrees of freedom.
func (l *Line) computeResiduals(runs []scale.Result, coefficients int) {
	var squaredSum float64
	for i := range runs {
		residual := l.Measure(&runs[i]) - l.evaluate(func(load Load) float64 { return load.value(&runs[i]) })
		squaredSum += residual * residual
		l.MaxResidual = max(l.MaxResidual, math.Abs(residual))
	}
	l.ResidualStdDev = math.Sqrt(squaredSum / float64(len(runs)-coefficients))
}

// evaluate returns the line's value at the loads that valueOf returns.
func (l *Line) evaluate(valueOf func(Load) float64) float64 {
	value := l.Intercept
	for loadIndex, load := range l.Loads {
		value += l.Slopes[loadIndex] * valueOf(load)
	}
	return value
}

// At returns the line's value at a deployment size, or 0 if that would be negative. extrapolated reports whether one
// of the loads is larger than in any of the runs.
func (l *Line) At(size Size) (value float64, extrapolated bool) {
	for _, load := range l.Loads {
		extrapolated = extrapolated || size.Loads[load] > l.MaxLoads[load]
	}
	return max(l.evaluate(func(load Load) float64 { return size.Loads[load] }), 0), extrapolated
}

// slope returns the slope for a load. The second result is false if the quantity does not depend on the load.
func (l *Line) slope(load Load) (float64, bool) {
	for loadIndex, other := range l.Loads {
		if other == load {
			return l.Slopes[loadIndex], true
		}
	}
	return 0, false
}
