// Goldcrestwick schedules requests from callers to heterogeneous model runners
// and application runners.
//
// # Usage
//
//	goldcrestwick try                        run a small deployment in one process
//	goldcrestwick settings check DIR         check a settings tree; --platform FILE checks the platform's configuration
//	goldcrestwick settings put ...           change the stored settings; also init, get, diff, history, status, watch
//	goldcrestwick serve --settings FILE      run one entry node
//	goldcrestwick entry                      run one entry node on the platform
//	goldcrestwick addresses --node ADDR      print the entry addresses for an account
//	goldcrestwick explain --node ADDR ID     explain the decisions for a request
//	goldcrestwick rollout --node ADDR POOL   show the rollout of a pool
//	goldcrestwick load --profile ekin        send an open-loop workload
//	goldcrestwick audit verify ...           verify the ledger; also explain, export
//
// Exit codes: 0 success, 1 the command failed, 2 the command line or the
// settings are invalid.
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
	exitFailure = 1
	exitUsage   = 2
)

// usageError marks an error in the command line or the settings.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func main() { os.Exit(run(os.Args, os.Stdout, os.Stderr)) }

// run executes one command line and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return exitCode(rootCommand(out, errs).Run(ctx, args), errs)
}

// exitCode prints the error of a command, if any, and returns the exit code.
func exitCode(err error, errs io.Writer) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, "goldcrestwick: "+err.Error()) //nolint:errcheck // a failed write cannot be reported elsewhere.
	var usage usageError
	var findings config.Findings
	if errors.As(err, &usage) || errors.As(err, &findings) {
		return exitUsage
	}
	return exitFailure
}

func rootCommand(out, errs io.Writer) *cli.Command {
	app := &cli.Command{
		Name:  "goldcrestwick",
		Usage: "a request scheduler for heterogeneous model runners and application runners",
		Description: "Exit codes: 0 success, 1 the command failed, 2 the command line or the settings are invalid.\n" +
			"Results go to standard output, errors and logs to standard error.",
		Writer:         out,
		ErrWriter:      errs,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(), entryCommand(), settingsCommand(), addressesCommand(), explainCommand(), rolloutCommand(), loadCommand(), tryCommand(), auditCommand(),
		},
	}
	markUsageErrors(app)
	return app
}

// markUsageErrors makes a command and its subcommands return command line errors
// as usageError.
func markUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError{err}
	}
	for _, sub := range c.Commands {
		markUsageErrors(sub)
	}
}
