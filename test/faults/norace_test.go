//go:build !race

package faults

// stride is 1: without the race detector every cell runs.
const stride = 1
