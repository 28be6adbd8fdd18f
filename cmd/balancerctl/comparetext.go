package main

import (
	"fmt"
	"io"
	"strings"

	"sprucehill/internal/lab/compare"
)

// showComparison writes a table with a row for each measure.
func showComparison(w io.Writer, r *compare.Result, file, engine string) {
	fmt.Fprintf(w, "A %s against B %s: %s, %s engine, %d runs each, seeds %d to %d\n\n", r.A, r.B, file, engine, r.Plays,
		r.Seeds[0], r.Seeds[len(r.Seeds)-1])
	rows := [][]any{{"", "A", "B", "B/A", "range of B/A", "B-A", "beyond noise"}}
	for _, row := range r.Rows {
		rows = append(rows, comparisonRow(row))
	}
	writeTable(w, rows...)
}

// comparisonRow returns the row of one measure.
func comparisonRow(row compare.Row) []any {
	ratio := "-"
	ratioRange := "-"
	if row.RatioOfMeans != 0 {
		ratio = fmt.Sprintf("%.3f", row.RatioOfMeans)
		ratioRange = fmt.Sprintf("%.3f to %.3f", row.LowestRatio, row.HighestRatio)
	}
	return []any{
		strings.TrimSpace(row.Measure + " " + row.Unit),
		fmt.Sprintf("%.4g", row.MeanA),
		fmt.Sprintf("%.4g", row.MeanB),
		ratio,
		ratioRange,
		fmt.Sprintf("%+.4g ± %.2g", row.MeanDiff, row.DiffHalfInterval),
		formatSignificance(row),
	}
}

// formatSignificance formats whether a difference is beyond noise, and if so which side is better.
func formatSignificance(row compare.Row) string {
	switch {
	case !row.IsBeyondNoise:
		return "no"
	case row.IsBetter:
		return "yes, B is better"
	}
	return "yes, B is worse"
}
