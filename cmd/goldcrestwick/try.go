package main

import (
	"context"
	"embed"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/tool/fleet"
	"goldcrestwick/internal/tool/load"
	"goldcrestwick/internal/version/config"
)

const (
	tryRate    = 6.0 // arrivals per second
	trySeconds = 6
	tryNodes   = 3
)

//go:embed tree
var tryTreeFS embed.FS

func tryCommand() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run a small deployment in one process and send it a short workload",
		Description: "The platform and the endpoints are simulated. The entry nodes, the links between them and the API for\n" +
			"callers are the real ones, on 127.0.0.x with ports chosen by the system.\n" +
			"Exit codes: 0 every answer was complete and matched its request, 1 otherwise.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seconds", Usage: "duration of the workload in `SECONDS`", Value: trySeconds},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the workload; 0 selects a random one"},
			&cli.BoolFlag{Name: "keep", Usage: "keep serving until interrupted"},
			&cli.BoolFlag{Name: "log", Usage: "write the nodes' logs to standard error"},
		},
		Action: try,
	}
}

func try(ctx context.Context, c *cli.Command) error {
	if c.Int("seconds") < 1 {
		return usageError{eris.New("--seconds must be at least 1")}
	}
	tree, err := loadTryTree()
	if err != nil {
		return err
	}
	options := fleet.Options{Tree: tree, Nodes: tryNodes, LogLevel: log.InfoLevel}
	if c.Bool("log") {
		options.LogOutput = c.Root().ErrWriter
	}
	f, err := fleet.Start(options)
	if err != nil {
		return err
	}
	defer f.Stop()
	out := c.Root().Writer
	fmt.Fprintf(out, "started %d entry nodes, %d model runners and %d application runners\n", len(f.Nodes), len(f.ModelRunners), len(f.ApplicationRunners)) //nolint:errcheck // a failed write cannot be reported elsewhere.
	seed := seedOrRandom(c.Uint64("seed"))
	report := runLoad(ctx, f, load.Profiles["ekin"], tryRate, time.Duration(c.Int("seconds"))*time.Second, seed)
	if err := report.WriteText(out); err != nil {
		return err
	}
	printExampleExplanation(ctx, out, f, report)
	if c.Bool("keep") {
		serveUntilInterrupted(ctx, out, f)
	}
	if !report.AllComplete() {
		return eris.New("some answers were incomplete or did not match their request")
	}
	return nil
}

func loadTryTree() (*config.Tree, error) {
	sub, err := fs.Sub(tryTreeFS, "tree")
	if err != nil {
		return nil, eris.Wrap(err, "open the embedded settings")
	}
	return config.Load(sub, 1)
}

// seedOrRandom returns seed, or a random seed if seed is 0.
func seedOrRandom(seed uint64) uint64 {
	if seed == 0 {
		return rand.Uint64N(1 << 32)
	}
	return seed
}

// exampleAccountKeys returns a function that maps the name of an account of team
// to its bearer key in the examples.
func exampleAccountKeys(team string) func(string) string {
	return func(account string) string { return "example-key-" + team + "-" + account }
}

// runLoad sends a workload to a fleet running in this process.
func runLoad(ctx context.Context, f *fleet.Fleet, p load.Profile, rate float64, duration time.Duration, seed uint64) *load.Report {
	g := &load.Generator{
		Profile: p, Rate: rate, Duration: duration, Seed: seed,
		APIKey: exampleAccountKeys(p.Team), PrefillTokens: f.CacheDirectory.PrefillTokensOf,
	}
	for _, n := range f.Nodes {
		g.Nodes = append(g.Nodes, n.Address)
	}
	report := g.Run(ctx)
	total, wasted := f.CacheDirectory.PrefillTokens()
	report.PrefillTokens, report.WastedPrefillTokens = int64(total), int64(wasted)
	return report
}

// printExampleExplanation prints the explanation of the report's example
// request.
func printExampleExplanation(ctx context.Context, out io.Writer, f *fleet.Fleet, r *load.Report) {
	if r.ExampleID == "" {
		return
	}
	fmt.Fprintf(out, "\nexplanation of request %s:\n%s", r.ExampleID, trace.Explain(f.Nodes[0].Explain(ctx, r.ExampleID))) //nolint:errcheck // a failed write cannot be reported elsewhere.
}

// serveUntilInterrupted prints sample requests to the fleet and returns when ctx
// is done.
func serveUntilInterrupted(ctx context.Context, out io.Writer, f *fleet.Fleet) {
	address := f.Nodes[0].Address
	key := exampleAccountKeys("ekin")("grain_union")
	fmt.Fprintf(out, `
serving until interrupted; try

  curl -s http://%[1]s/v1/addresses -H 'Authorization: Bearer %[2]s'
  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' \
    -d '{"model":"crop-reader","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"wheat or sunflower?"}]}'
  curl -si http://%[1]s/services/subsidy/claims -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: claim-7' -d 'parcel 7'

`, address, key) //nolint:errcheck // a failed write cannot be reported elsewhere.
	<-ctx.Done()
}
