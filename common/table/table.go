// Package table bounds the length of tables.
package table

import (
	"fmt"
	"io"
)

// Rows calls write for the first n items, and writes to w how many more there are.
func Rows[T any](w io.Writer, items []T, n int, write func(T)) {
	for _, it := range items[:min(n, len(items))] {
		write(it)
	}
	if more := len(items) - n; more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
}
