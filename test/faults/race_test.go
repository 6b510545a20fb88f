//go:build race

package faults

import "runtime"

// The race detector makes a cell ten times as slow and allows only one thread (see init). With it only every stride-th
// cell runs, the same ones each time, and TestRecovery, which measures times, does not run.
const stride = 100

// The runtime of the race detector crashes (a failed check in tsan_rtl.cpp, SIGSEGV in StackDepotBase::Put) when timers
// of one synctest bubble run on several threads. With one thread it finds races as well.
func init() { runtime.GOMAXPROCS(1) }
