// Package hangup keeps SIGHUP from ending a gateway that does not handle it yet. It imports little, so that it is initialized before
// most other packages, whose initialization takes milliseconds, and far longer when the processors are busy.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// command is the command whose process must not be ended by SIGHUP. Nothing is lost while the signal is ignored: the command reads its
// settings after it has begun to handle it.
const command = "gateway"

func init() {
	if len(os.Args) > 1 && os.Args[1] == command {
		signal.Ignore(syscall.SIGHUP)
	}
}
