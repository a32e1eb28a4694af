package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"goldcrestwick/internal/connection/front"
)

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollout",
		Usage:     "show how the traffic of a pool moves to another release, and why",
		ArgsUsage: "POOL",
		Description: "The share is that of the queried node; all else comes from the node that conducts the rollout, if it replies.\n" +
			"POOL may be the name of a service.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "operator `ADDRESS` of any entry node", Required: true},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
		Action: printRollout,
	}
}

func printRollout(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{eris.New("rollout takes one pool")}
	}
	raw, err := queryNode(ctx, c.String("node"), "/v1/rollouts/"+(&url.URL{Path: c.Args().First()}).EscapedPath(), "")
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err := c.Root().Writer.Write(raw)
		return err
	}
	var status front.RolloutStatus
	if err := json.Unmarshal(raw, &status); err != nil {
		return eris.Wrap(err, "decode the node's response")
	}
	return writeRollout(c.Root().Writer, status)
}

// writeRollout writes a status as text.
func writeRollout(out io.Writer, s front.RolloutStatus) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	line := func(name, format string, values ...any) {
		fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, values...)) //nolint:errcheck // Flush reports a failed write.
	}
	line("pool", "%s", s.Pool)
	line("order", "to %s with a ramp of %gs, row version %d, %.1fs ago", s.Target, s.RampSeconds, s.OrderVersion, s.RunningSeconds)
	if s.Problem != "" {
		line("problem", "%s", s.Problem)
	}
	line("state", "%s", s.State)
	line("share", "%.3f at node %s", s.Share, s.Node)
	if s.Endpoints > 0 {
		line("endpoints", "%d of the target may be used", s.Endpoints)
	}
	if s.Verdict != "" {
		line("verdict", "%s", s.Verdict)
	}
	line("reason", "%s", s.Reason)
	line("conductor", "%s", s.Conductor)
	if !s.IsFromConductor {
		line("counts", "unknown, since the conductor did not reply or none is known")
		return eris.Wrap(w.Flush(), "write the status")
	}
	line("old work", "%d requests in flight at other releases", s.OldInFlight)
	if err := w.Flush(); err != nil {
		return eris.Wrap(err, "write the status")
	}
	fmt.Fprintln(w, "release\troute\tlength\tanswers\tfailures\tmedian\tslowest 1%") //nolint:errcheck // Flush reports a failed write.
	for _, count := range s.Counts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d ms\t%d ms\n", count.Release, count.Route, lengthOf(count.Class), //nolint:errcheck // Flush reports a failed write.
			count.Answers, count.Failures, count.MedianMs, count.SlowestMs)
	}
	return eris.Wrap(w.Flush(), "write the status")
}

// lengthOf describes a class of prompt length.
func lengthOf(class uint8) string {
	if class == 0 {
		return "-"
	}
	return fmt.Sprintf("<%d", uint64(1)<<min(class, 63))
}
