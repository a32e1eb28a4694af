package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"goldcrestwick/internal/version/lint"
	"goldcrestwick/platform"
)

// standardInput stands for standard input in place of a file's name.
const standardInput = "-"

// checkFlags returns the flags of settings check.
func checkFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "json", Usage: "write the faults as JSON"},
		&cli.StringFlag{Name: "platform", Usage: "check the platform's configuration in `FILE`, - for standard input"},
		&cli.StringFlag{Name: "against", Usage: "with --platform: compare with the configuration in `FILE`"},
		&cli.StringFlag{Name: "store", Usage: "with --platform: compare with the version in force in the store at `ADDRESS`, as IP:PORT"},
		&cli.BoolFlag{Name: "strict", Usage: "with --platform: treat warnings as errors"},
	}
}

// checkPlatformSettings checks a configuration of the platform. Findings and differences
// go to standard output.
func checkPlatformSettings(ctx context.Context, c *cli.Command) error {
	file, against, address := c.String("platform"), c.String("against"), c.String("store")
	switch {
	case c.Args().Len() != 0:
		return usageError{eris.New("settings check takes no directory or file beside --platform")}
	case c.IsSet("against") && c.IsSet("store"):
		return usageError{eris.New("settings check takes only one of --against and --store")}
	case file == standardInput && against == standardInput:
		return usageError{eris.New("only one of --platform and --against can be standard input")}
	}
	text, err := readInput(c, file)
	if err != nil {
		return usageError{err}
	}
	var inForce []byte
	switch {
	case c.IsSet("against"):
		inForce, err = readInput(c, against)
	case c.IsSet("store"):
		inForce, err = readSettingsInForce(ctx, address)
	}
	if err != nil {
		return usageError{err}
	}
	report, err := platform.CheckSettings(text, inForce)
	if err != nil {
		return usageError{err}
	}
	write := writeCheckText
	if c.Bool("json") {
		write = writeCheckJSON
	}
	if err := write(c.Root().Writer, report); err != nil {
		return eris.Wrap(err, "write the findings")
	}
	return checkVerdict(report.Findings, c.Bool("strict"))
}

// checkVerdict returns an error if the findings reject the configuration.
func checkVerdict(findings []lint.Finding, isStrict bool) error {
	faults, warnings := 0, 0
	for _, f := range findings {
		if f.Severity == lint.Error {
			faults++
		} else {
			warnings++
		}
	}
	if faults == 0 && (warnings == 0 || !isStrict) {
		return nil
	}
	return usageError{eris.Errorf("the configuration has %d errors and %d warnings", faults, warnings)}
}

// readInput reads a file, or standard input.
func readInput(c *cli.Command, name string) ([]byte, error) {
	if name == standardInput {
		text, err := io.ReadAll(c.Root().Reader)
		return text, eris.Wrap(err, "read standard input")
	}
	// The error names the file.
	return os.ReadFile(name)
}

// readSettingsInForce reads the operator's current settings from the store.
func readSettingsInForce(ctx context.Context, address string) ([]byte, error) {
	row, found, err := newStoreClient(address).Get(ctx, platform.SettingsTable, platform.SettingsKey)
	if err != nil {
		return nil, eris.Wrap(err, "read the version in force")
	}
	if !found || row.Value == nil {
		return nil, eris.New("the store has no configuration in force")
	}
	return row.Value, nil
}

func writeCheckText(w io.Writer, report platform.CheckReport) error {
	for _, f := range report.Findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	for _, d := range report.Differences {
		if _, err := fmt.Fprintln(w, formatDifference(d)); err != nil {
			return err
		}
	}
	if len(report.Findings) == 0 {
		_, err := fmt.Fprintln(w, "no fault")
		return err
	}
	return nil
}

// formatDifference returns one line, for example
// `changed: routes "chat" timeout_ms: 800 -> 300 (risky)`.
func formatDifference(d lint.Difference) string {
	line := fmt.Sprintf("%s: %s", d.Change, d.List)
	if d.Name != "" {
		line += fmt.Sprintf(" %q", d.Name)
	}
	if d.Field != "" {
		line += " " + string(d.Field)
	}
	switch {
	case d.Field == "":
	case d.Change == lint.Added:
		line += " " + d.New
	case d.Change == lint.Removed:
		line += " " + d.Old
	default:
		line += fmt.Sprintf(": %s -> %s", orNone(d.Old), orNone(d.New))
	}
	if d.IsRisky {
		line += " (risky)"
	}
	return line
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

type jsonCheck struct {
	Findings    []jsonCheckFinding `json:"findings"`
	Differences []jsonDifference   `json:"differences"`
}

type jsonCheckFinding struct {
	Severity string `json:"severity"`
	Location string `json:"location"`
	Problem  string `json:"problem"`
}

type jsonDifference struct {
	Change string `json:"change"`
	List   string `json:"list"`
	Name   string `json:"name"`
	Field  string `json:"field"`
	Old    string `json:"old"`
	New    string `json:"new"`
	Risky  bool   `json:"risky"`
}

func writeCheckJSON(w io.Writer, report platform.CheckReport) error {
	out := jsonCheck{[]jsonCheckFinding{}, []jsonDifference{}}
	for _, f := range report.Findings {
		out.Findings = append(out.Findings, jsonCheckFinding{f.Severity.String(), string(f.Location), f.Problem})
	}
	for _, d := range report.Differences {
		out.Differences = append(out.Differences, jsonDifference{d.Change.String(), d.List, d.Name, string(d.Field), d.Old, d.New, d.IsRisky})
	}
	return json.NewEncoder(w).Encode(out)
}
