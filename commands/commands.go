// Package commands defines the command line, with one file per command. Commands parse arguments and print results;
// they contain no domain logic.
package commands

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"
	"golang.org/x/term"

	"monsoondale/core"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailure  = 1 // the command failed or found a difference
	exitUsage    = 2 // the command line, settings file or template is invalid
	exitConflict = 3 // another operator changed the object first
	exitUnknown  = 4 // the outcome is unknown; read the object back
)

// streams holds the standard streams, so that tests can replace them.
type streams struct {
	in       io.Reader
	out, err io.Writer
	terminal bool // out is a terminal
}

// cli defines the commands and their flags for kong.
type cli struct {
	Serve     serveCmd     `cmd:"" help:"Run an instance."`
	Gateway   gatewayCmd   `cmd:"" help:"Run an instance on the users' platform."`
	Standin   standinCmd   `cmd:"" help:"Run a stand-in of an outside system, for tests."`
	Apply     applyCmd     `cmd:"" help:"Create or replace templates and workspaces."`
	Get       getCmd       `cmd:"" help:"Print a template or workspace, or list them."`
	Delete    deleteCmd    `cmd:"" help:"Delete a template or workspace."`
	Status    statusCmd    `cmd:"" help:"Show the configuration in force on each instance."`
	History   historyCmd   `cmd:"" help:"List changes of templates and workspaces."`
	Report    reportCmd    `cmd:"" help:"Print what became of the requests."`
	Fleet     fleetCmd     `cmd:"" help:"Show the state of a fleet of gateways, as their logs tell it."`
	Rollout   rolloutCmd   `cmd:"" help:"Show or stop the orders of a fleet of gateways to move services to another version."`
	Parts     partsCmd     `cmd:"" help:"List or release the parts of prompts that a fleet of gateways has quarantined."`
	Endpoints endpointsCmd `cmd:"" help:"List the endpoints that an instance knows, with their limits and loads."`
	Explain   explainCmd   `cmd:"" help:"Print what the logs of instances tell of a request."`
	Check     checkCmd     `cmd:"" help:"Check a configuration of the users' platform before it is sent, and show what it changes."`
	Validate  validateCmd  `cmd:"" help:"Check settings, templates and workspaces without a server."`
	Codes     codesCmd     `cmd:"" help:"Print the table of result codes."`
	Demo      demoCmd      `cmd:"" help:"Run two small deployments in this process and check every count."`

	Completion kongplete.InstallCompletions `cmd:"" help:"Print the commands that turn on completion in your login shell."`
}

// Execute runs the command that args specify and returns the exit code.
func Execute(args []string) int {
	return execute(args, &streams{in: os.Stdin, out: os.Stdout, err: os.Stderr, terminal: term.IsTerminal(int(os.Stdout.Fd()))})
}

func execute(args []string, s *streams) int {
	var c cli
	code := -1
	parser, err := kong.New(&c,
		kong.Name("monsoondale"),
		kong.Description("A request scheduler for heterogeneous engines."),
		kong.UsageOnError(),
		kong.Writers(s.out, s.err),
		kong.Exit(func(n int) { code = n }),
		kong.Bind(s),
	)
	if err != nil {
		fmt.Fprintln(s.err, "monsoondale:", err)
		return exitFailure
	}
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*")))
	if code >= 0 { // the shell asked for completions
		return code
	}
	ctx, err := parser.Parse(args)
	if code >= 0 { // --help, or completion
		return code
	}
	if err != nil {
		fmt.Fprintln(s.err, "monsoondale:", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(s.err, "monsoondale:", err)
		return exitCode(err)
	}
	return exitOK
}

// usageError is an invalid command line that the parser does not detect.
type usageError struct{ text string }

// Error implements error.
func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// exitCode maps an error to the exit code that scripts rely on.
func exitCode(err error) int {
	var u *usageError
	if errors.As(err, &u) {
		return exitUsage
	}
	var e *core.Error
	if !errors.As(err, &e) {
		return exitFailure
	}
	switch e.Code {
	case core.CodeBadSettings, core.CodeBadTemplate, core.CodeBadRequest:
		return exitUsage
	case core.CodeConflict:
		return exitConflict
	case core.CodeChangeUnknown:
		return exitUnknown
	}
	return exitFailure
}
