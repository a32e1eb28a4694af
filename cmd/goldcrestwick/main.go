// Goldcrestwick schedules requests from callers to unlike model runners and
// application runners.
//
// # Usage
//
//	goldcrestwick try                        a whole small deployment in one process
//	goldcrestwick settings check DIR         check a settings tree
//	goldcrestwick serve --settings FILE      one entry node
//	goldcrestwick entry                      one entry node on the platform
//	goldcrestwick addresses --node ADDR      the entry addresses for an account
//	goldcrestwick explain --node ADDR ID     why a request was decided as it was
//	goldcrestwick load --profile ekin        an open-loop workload
//	goldcrestwick audit verify ...           check the ledger
//
// Exit codes: 0 success, 1 the work failed, 2 the command line or the settings
// are at fault.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"goldcrestwick/internal/version/config"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError marks faults of the command line and the settings.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func main() { os.Exit(run(os.Args, os.Stdout, os.Stderr)) }

// run runs one command line and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := command(out, errs)
	err := app.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, "goldcrestwick: "+err.Error()) //nolint:errcheck // nowhere else to tell it.
	var usage usageError
	var findings config.Findings
	if errors.As(err, &usage) || errors.As(err, &findings) {
		return exitUsage
	}
	return exitFailed
}

func command(out, errs io.Writer) *cli.Command {
	app := &cli.Command{
		Name:  "goldcrestwick",
		Usage: "a request scheduler for unlike model engines and the plain services beside them",
		Description: "Exit codes: 0 success, 1 the work failed, 2 the command line or the settings are at fault.\n" +
			"Results go to standard output, errors and logs to standard error.",
		Writer:         out,
		ErrWriter:      errs,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(), entryCommand(), settingsCommand(), addressesCommand(), explainCommand(), loadCommand(), tryCommand(), auditCommand(),
		},
	}
	markUsageErrors(app)
	return app
}

// markUsageErrors makes faults of the command line tell themselves apart in a
// command and all below it.
func markUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError{err}
	}
	for _, sub := range c.Commands {
		markUsageErrors(sub)
	}
}
