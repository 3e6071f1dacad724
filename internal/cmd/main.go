// Package cmd is the command line.
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
	// exitFailed is for anything that went wrong.
	exitFailed = 1
	// exitUsage is for a wrong command line.
	exitUsage = 2
	// exitRefused is for a change that the fold refused.
	exitRefused = 3
	// exitUnknown is for a change that may have taken effect.
	exitUnknown = 4
)

// commands is the whole command line.
type commands struct {
	Serve   serveCmd   `cmd:"" help:"Run an entry host."`
	Standin standinCmd `cmd:"" help:"Run a small stand-in of the platform with workers."`
	Demo    demoCmd    `cmd:"" help:"Show the whole path in one process."`
	Patch   patchCmd   `cmd:"" help:"Submit a patch against a version of the configuration."`
	Config  configCmd  `cmd:"" help:"Show the configuration, or what became of a record."`
	Status  statusCmd  `cmd:"" help:"Show pools, budgets, hosts and who is behind."`
	Drain   drainCmd   `cmd:"" help:"Drain a host inside its pool's budget."`
	Return  returnCmd  `cmd:"" help:"Return a drained host to service."`
	Move    moveCmd    `cmd:"" help:"Move a host to another pool."`
	Halt    haltCmd    `cmd:"" help:"Stop or resume the maintenance of a data centre."`
	Plan    planCmd    `cmd:"" help:"Show what the planner would do next, and why."`
	Job     jobCmd     `cmd:"" help:"Submit, show and cancel jobs."`
	Explain explainCmd `cmd:"" help:"Show from logs what became of a job, and what happened around it."`
	Dump    dumpCmd    `cmd:"" help:"Show the whole state of an entry host."`
	Check   checkCmd   `cmd:"" help:"Check settings or a configuration offline."`
	Restore restoreCmd `cmd:"" help:"Accept that no entry host holds a configuration any more."`
}

// console is where commands write.
type console struct {
	out io.Writer
	err io.Writer
}

// exitError carries an exit status.
type exitError struct {
	status int
	cause  error
}

func (e *exitError) Error() string { return e.cause.Error() }

// exitCode ends the parser's own exits without ending the process.
type exitCode int

// Main runs the command line and gives the exit status.
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
