package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/glentiller/glentiller/internal/clustersim/scale"
)

// The columns of the table before and after those of Sizes, which have one column per size.
const (
	leadingColumns   = "| role | quantity | intercept | per worker | per start/s | per job/s | residual | spread |"
	trailingColumns  = " budget | mechanism |"
	fixedColumnCount = 10 // columns in leadingColumns and trailingColumns together
)

// extrapolatedMark follows a value for loads that are larger than in any of the runs.
const extrapolatedMark = " *"

// Table fits all quantities to the runs and returns the table of docs/CAPACITY.md in Markdown, with its footnote. It
// returns the error of Fit if a quantity cannot be fitted.
func Table(runs []scale.Result) (string, error) {
	var b strings.Builder
	sizes := Sizes()
	b.WriteString(leadingColumns)
	for _, size := range sizes {
		fmt.Fprintf(&b, " %s |", size.Name)
	}
	b.WriteString(trailingColumns + "\n|" + strings.Repeat(" --- |", fixedColumnCount+len(sizes)) + "\n")
	for _, q := range Quantities() {
		line, err := Fit(q, runs)
		if err != nil {
			return "", err
		}
		writeRow(&b, &line, sizes)
	}
	writeFooter(&b, runs)
	return b.String(), nil
}

// writeRow writes the row of one quantity.
func writeRow(b *strings.Builder, line *Line, sizes []Size) {
	cells := []string{
		line.Role,
		line.Name,
		formatNumber(line.Intercept),
		formatSlope(line, Workers),
		formatSlope(line, Starts),
		formatSlope(line, Jobs),
		formatNumber(line.ResidualStdDev),
		formatNumber(line.MaxResidual),
	}
	for _, size := range sizes {
		value, extrapolated := line.At(size)
		cell := fmt.Sprintf("%.*f", line.Decimals, value)
		if extrapolated {
			cell += extrapolatedMark
		}
		cells = append(cells, cell)
	}
	cells = append(cells, line.Budget, line.Mechanism)
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// writeFooter writes the footnote: the number of runs, their range of workers per region, and the meaning of
// extrapolatedMark.
func writeFooter(b *strings.Builder, runs []scale.Result) {
	minWorkers, maxWorkers := math.Inf(1), 0.0
	for i := range runs {
		workers := Workers.value(&runs[i])
		minWorkers, maxWorkers = min(minWorkers, workers), max(maxWorkers, workers)
	}
	fmt.Fprintf(b, "\n%d runs, %.0f to %.0f hollow workers in a region. ", len(runs), minWorkers, maxWorkers)
	b.WriteString("\\* extrapolated: beyond the most workers, starts or jobs a second of any run.\n")
}

// formatSlope formats the slope for a load. It returns "" if the quantity does not depend on the load.
func formatSlope(line *Line, load Load) string {
	slope, ok := line.slope(load)
	if !ok {
		return ""
	}
	return formatNumber(slope)
}

// formatNumber formats a number with three significant digits.
func formatNumber(v float64) string { return fmt.Sprintf("%.3g", v) }
