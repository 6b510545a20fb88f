// Command monsoondale schedules requests over model engines and plain services.
package main

import (
	"os"

	"monsoondale/commands"
	_ "monsoondale/common/hangup" // before anything else
)

func main() {
	os.Exit(commands.Execute(os.Args[1:]))
}
