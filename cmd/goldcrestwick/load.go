package main

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"gopkg.in/ini.v1"

	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/tool/fleet"
	"goldcrestwick/internal/tool/load"
	"goldcrestwick/internal/version/config"
)

const (
	defaultRate    = 20.0 // arrivals per second
	defaultSeconds = 20
	defaultNodes   = 6
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send an open-loop workload and report goodput by tier",
		Description: "With --node the workload is sent to running entry nodes, with --tree to a deployment started in this\n" +
			"process with simulated endpoints. Exit codes: 0 the run completed, 1 it could not be run, 2 usage error.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Usage: "ekin or sabarmati", Value: "ekin"},
			&cli.StringSliceFlag{Name: "node", Usage: "caller `ADDRESS` of an entry node; can be repeated"},
			&cli.StringFlag{Name: "keys", Usage: "INI `FILE` with a line account = key for each account; the default is the keys of the examples"},
			&cli.StringFlag{Name: "tree", Usage: "settings `DIR` of a deployment to start in this process"},
			&cli.IntFlag{Name: "nodes", Usage: "entry nodes to start with --tree", Value: defaultNodes},
			&cli.StringFlag{Name: "policy", Usage: "fair, random, least_reported or first_come, with --tree", Value: "fair"},
			&cli.FloatFlag{Name: "rate", Usage: "arrivals per second; a chat with several turns counts once", Value: defaultRate},
			&cli.IntFlag{Name: "seconds", Usage: "duration of the arrivals in `SECONDS`", Value: defaultSeconds},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the workload; 0 selects a random one"},
			&cli.StringFlag{Name: "format", Usage: "text, json or csv", Value: "text"},
		},
		Action: runLoadCommand,
	}
}

func runLoadCommand(ctx context.Context, c *cli.Command) error {
	profile, err := load.FindProfile(c.String("profile"))
	if err != nil {
		return usageError{err}
	}
	policy, ok := sched.Policies[c.String("policy")]
	if !ok {
		return usageError{eris.Errorf("there is no policy %q", c.String("policy"))}
	}
	write, ok := map[string]func(*load.Report) error{
		"text": func(r *load.Report) error { return r.WriteText(c.Root().Writer) },
		"json": func(r *load.Report) error { return r.WriteJSON(c.Root().Writer) },
		"csv":  func(r *load.Report) error { return r.WriteCSV(c.Root().Writer) },
	}[c.String("format")]
	if !ok {
		return usageError{eris.Errorf("there is no format %q", c.String("format"))}
	}
	duration := time.Duration(c.Int("seconds")) * time.Second
	seed := seedOrRandom(c.Uint64("seed"))
	if dir := c.String("tree"); dir != "" {
		return loadInProcess(ctx, dir, c.Int("nodes"), policy, write, profile, c.Float("rate"), duration, seed)
	}
	g := &load.Generator{Profile: profile, Rate: c.Float("rate"), Duration: duration, Seed: seed, Nodes: c.StringSlice("node")}
	if g.APIKey, err = loadAccountKeys(c.String("keys"), profile.Team); err != nil {
		return usageError{err}
	}
	if err := g.Check(); err != nil {
		return usageError{err}
	}
	return write(g.Run(ctx))
}

func loadInProcess(ctx context.Context, dir string, nodes int, policy sched.Policy, write func(*load.Report) error, p load.Profile, rate float64, duration time.Duration, seed uint64) error {
	tree, err := config.Load(os.DirFS(dir), 1)
	if err != nil {
		return err
	}
	if nodes < 1 || rate <= 0 || duration <= 0 {
		return usageError{eris.New("--nodes, --rate and --seconds must be above 0")}
	}
	f, err := fleet.Start(fleet.Options{Tree: tree, Nodes: nodes, Policy: policy})
	if err != nil {
		return err
	}
	defer f.Stop()
	return write(runLoad(ctx, f, p, rate, duration, seed))
}

// loadAccountKeys returns a function that maps an account's name to its bearer
// key. The keys are read from file, where a missing account has the key "". If file
// is empty, they are the keys of the team's accounts in the examples.
func loadAccountKeys(file, team string) (func(string) string, error) {
	if file == "" {
		return exampleAccountKeys(team), nil
	}
	keys, err := ini.Load(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the account keys")
	}
	return func(account string) string { return keys.Section("").Key(account).Value() }, nil
}
