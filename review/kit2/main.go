// Command kit2 holds the stand-ins of the cases 7 and 8: a platform, servers and clients that do only what the users' pages tell, and
// the checks of the rules that the cases are about. Each case is a subcommand, which starts gateways as processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

// cases are the subcommands.
var cases = map[string]func(c *run) (broken bool, err error){
	"drain": drain,
	"stale": stale,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	c, err := newRun(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(exitNotRun)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-ended:
		case <-time.After(maxTime):
		}
		c.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](c)
	c.close()
	switch {
	case err != nil:
		c.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(exitNotRun)
	case broken:
		c.note("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	c.note("the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
