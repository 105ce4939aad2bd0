package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/glentiller/glentiller/internal/clustersim/scale"
)

// Table fits all quantities and writes them as a table in Markdown. Values beyond all runs are marked.
func Table(runs []scale.Result) (string, error) {
	var b strings.Builder
	sizes := Sizes()
	b.WriteString("| role | quantity | intercept | per worker | per start/s | per job/s | residual | spread |")
	for _, size := range sizes {
		fmt.Fprintf(&b, " %s |", size.Name)
	}
	b.WriteString(" budget | mechanism |\n|" + strings.Repeat(" --- |", fixedColumns+len(sizes)) + "\n")
	for _, q := range Quantities() {
		line, err := Fit(q, runs)
		if err != nil {
			return "", err
		}
		writeRow(&b, &line, sizes)
	}
	least, most := math.Inf(1), 0.0
	for i := range runs {
		least, most = min(least, Workers.value(&runs[i])), max(most, Workers.value(&runs[i]))
	}
	fmt.Fprintf(&b, "\n%d runs, %.0f to %.0f hollow workers in a region. ", len(runs), least, most)
	b.WriteString("\\* extrapolated: beyond the most workers, starts or jobs a second of any run.\n")
	return b.String(), nil
}

// fixedColumns is how many columns the table has besides those of the sizes.
const fixedColumns = 10

// writeRow writes the row of a quantity.
func writeRow(b *strings.Builder, line *Line, sizes []Size) {
	columns := []string{
		line.Role,
		line.Name,
		formatNumber(line.Intercept),
		line.slope(Workers),
		line.slope(Starts),
		line.slope(Jobs),
		formatNumber(line.Residual),
		formatNumber(line.MaxResidual),
	}
	for _, size := range sizes {
		value, beyond := line.At(size)
		mark := ""
		if beyond {
			mark = " *"
		}
		columns = append(columns, fmt.Sprintf("%.*f%s", line.Digits, value, mark))
	}
	columns = append(columns, line.Budget, line.Mechanism)
	b.WriteString("| " + strings.Join(columns, " | ") + " |\n")
}

// formatNumber writes a number with three significant digits.
func formatNumber(v float64) string { return fmt.Sprintf("%.3g", v) }
