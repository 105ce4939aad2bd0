package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/glentiller/glentiller/internal/clustersim/scale"
)

// The columns of the table besides those of Sizes.
const (
	leftColumns  = "| role | quantity | intercept | per worker | per start/s | per job/s | residual | spread |"
	rightColumns = " budget | mechanism |"
	fixedColumns = 10
)

// extrapolatedMark follows a value beyond what was measured.
const extrapolatedMark = " *"

// Table fits all quantities and writes them as a table in Markdown.
func Table(runs []scale.Result) (string, error) {
	var b strings.Builder
	sizes := Sizes()
	b.WriteString(leftColumns)
	for _, size := range sizes {
		fmt.Fprintf(&b, " %s |", size.Name)
	}
	b.WriteString(rightColumns + "\n|" + strings.Repeat(" --- |", fixedColumns+len(sizes)) + "\n")
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

// writeRow writes the row of a quantity.
func writeRow(b *strings.Builder, line *Line, sizes []Size) {
	cells := []string{
		line.Role,
		line.Name,
		formatNumber(line.Intercept),
		formatSlope(line, Workers),
		formatSlope(line, Starts),
		formatSlope(line, Jobs),
		formatNumber(line.Residual),
		formatNumber(line.MaxResidual),
	}
	for _, size := range sizes {
		value, extrapolated := line.At(size)
		cell := fmt.Sprintf("%.*f", line.Digits, value)
		if extrapolated {
			cell += extrapolatedMark
		}
		cells = append(cells, cell)
	}
	cells = append(cells, line.Budget, line.Mechanism)
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// writeFooter writes what the table is made of.
func writeFooter(b *strings.Builder, runs []scale.Result) {
	least, most := math.Inf(1), 0.0
	for i := range runs {
		workers := Workers.value(&runs[i])
		least, most = min(least, workers), max(most, workers)
	}
	fmt.Fprintf(b, "\n%d runs, %.0f to %.0f hollow workers in a region. ", len(runs), least, most)
	b.WriteString("\\* extrapolated: beyond the most workers, starts or jobs a second of any run.\n")
}

// formatSlope writes the slope of a load; it is empty if the quantity does not grow with it.
func formatSlope(line *Line, load Load) string {
	slope, ok := line.slope(load)
	if !ok {
		return ""
	}
	return formatNumber(slope)
}

// formatNumber writes a number with three significant digits.
func formatNumber(v float64) string { return fmt.Sprintf("%.3g", v) }
