package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// writeTable writes rows as columns aligned by spaces.
func writeTable(w io.Writer, rows ...[]any) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		texts := make([]string, len(row))
		for i, x := range row {
			texts[i] = fmt.Sprint(x)
		}
		fmt.Fprintln(t, strings.Join(texts, "\t"))
	}
	t.Flush() // the error is of no use: w is standard output or a buffer
}

// formatPercent formats a ratio as a percentage.
func formatPercent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
