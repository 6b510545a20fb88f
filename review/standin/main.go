// Command standin plays the stand-ins of the scripts of this review, and starts the gateways as processes. It exits with 1 if the rule
// was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD TROUBLE")
		os.Exit(2)
	}
	cases := map[string]func(w *world, trouble bool) (broken bool, err error){"watchers-restarted": watchersRestarted}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		w.close()
		os.Exit(2)
	}()
	broken, err := play(w, os.Args[3] != "0")
	w.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
