// Package cmd implements the command line.
package cmd

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Exit statuses.
const (
	exitOK = 0
	// exitFailed reports an error for which there is no status of its own.
	exitFailed = 1
	// exitUsage reports a wrong command line or unusable input.
	exitUsage = 2
	// exitRefused reports a refused change, for instance one that the fold refused.
	exitRefused = 3
	// exitUnknown reports a change whose outcome is unknown: it may have taken effect.
	exitUnknown = 4
)

// commands declares the commands of the command line.
type commands struct {
	Serve   serveCmd   `cmd:"" help:"Run an entry host."`
	Standin standinCmd `cmd:"" help:"Run a small stand-in for the platform, with workers."`
	Demo    demoCmd    `cmd:"" help:"Run a self-checking demonstration of the whole system in one process."`
	Patch   patchCmd   `cmd:"" help:"Submit a patch against a version of the configuration."`
	Config  configCmd  `cmd:"" help:"Show the configuration, or the outcome of a record."`
	Status  statusCmd  `cmd:"" help:"Show pools, budgets, data centres, and hosts with the entry hosts that they wait for."`
	Drain   drainCmd   `cmd:"" help:"Drain a host within the budget of its pool."`
	Return  returnCmd  `cmd:"" help:"Return a drained host to service."`
	Move    moveCmd    `cmd:"" help:"Move a host to another pool."`
	Halt    haltCmd    `cmd:"" help:"Stop or resume the maintenance of a data centre."`
	Plan    planCmd    `cmd:"" help:"Show the next actions of the maintenance planner and the reasons for them."`
	Job     jobCmd     `cmd:"" help:"Submit, show and cancel jobs."`
	Explain explainCmd `cmd:"" help:"Show from event logs the history of a job and related events."`
	Dump    dumpCmd    `cmd:"" help:"Show the whole state of an entry host."`
	Check   checkCmd   `cmd:"" help:"Check settings or a configuration offline."`
	Restore restoreCmd `cmd:"" help:"Continue with an empty configuration if no entry host holds one any more."`
}

// console holds the output streams of a command.
type console struct {
	out io.Writer
	err io.Writer
}

// exitError is an error with the exit status that it leads to.
type exitError struct {
	status int
	cause  error
}

func (e *exitError) Error() string { return e.cause.Error() }

// exitCode is the panic value with which the parser's exit function returns to Main, so
// that --help, for instance, does not end the process.
type exitCode int

// Main runs the command line and returns the exit status.
func Main(args []string, out, errOut io.Writer) (status int) {
	defer func() {
		if code, ok := recover().(exitCode); ok {
			status = int(code)
		}
	}()
	var root commands
	parser, err := kong.New(&root,
		kong.Name("hornbeammast"),
		kong.Description("Fleet capacity and maintenance manager."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(exitCode(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "hornbeammast:", err)
		return exitFailed
	}
	context, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "hornbeammast:", err)
		return exitUsage
	}
	err = context.Run(&console{out: out, err: errOut})
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "hornbeammast:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return exitFailed
}
