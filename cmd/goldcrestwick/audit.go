package main

import (
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/ledger"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/platform"
)

const (
	exportFileMode = 0o644
	// maxEarlierGrants bounds the earlier grants that are listed for a request.
	maxEarlierGrants = 5
)

func auditCommand() *cli.Command {
	sourceFlags := []cli.Flag{
		&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's store, as IP:PORT"},
		&cli.StringFlag{Name: "file", Usage: "`FILE` written by audit export, instead of --store"},
	}
	keyFlag := &cli.StringFlag{Name: "key", Usage: "`FILE` with the ledger's public key, as PEM", Required: true}
	return &cli.Command{
		Name:  "audit",
		Usage: "verify the ledger, and explain decisions from its records",
		Commands: []*cli.Command{
			{
				Name: "verify", Usage: "find modified, missing and moved records",
				Description: "Exit codes: 0 no fault, 1 faults; each is printed with its chain and record.",
				Flags:       append(slices.Clone(sourceFlags), keyFlag), Action: auditVerify,
			},
			{
				Name: "explain", Usage: "print a request's steps and the grants before its own", ArgsUsage: "REQUEST_ID",
				Flags: append(slices.Clone(sourceFlags), &cli.BoolFlag{Name: "json", Usage: "write JSON"}), Action: auditExplain,
			},
			{
				Name: "export", Usage: "write the whole ledger to one file, which verify and explain read with --file", ArgsUsage: "FILE",
				Flags: sourceFlags, Action: auditExport,
			},
		},
	}
}

// readLedger reads all blocks from the object store or from a file.
func readLedger(ctx context.Context, c *cli.Command) ([]ledger.Block, error) {
	if file := c.String("file"); file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, usageError{err}
		}
		return ledger.Decode(raw)
	}
	address := c.String("store")
	if address == "" {
		return nil, usageError{eris.New("--store or --file is required")}
	}
	objects := platform.NewStore(address).Service()
	names, err := objects.ListObjects(ctx, ledger.Prefix)
	if err != nil {
		return nil, err
	}
	var all []ledger.Block
	for _, name := range names {
		raw, err := objects.GetObject(ctx, name)
		if err != nil {
			return nil, err
		}
		blocks, err := ledger.Unpack(raw)
		if err != nil {
			return nil, eris.Wrap(err, name)
		}
		all = append(all, blocks...)
	}
	return all, nil
}

func auditVerify(ctx context.Context, c *cli.Command) error {
	key, err := readPublicKey(c.String("key"))
	if err != nil {
		return usageError{err}
	}
	blocks, err := readLedger(ctx, c)
	if err != nil {
		return err
	}
	faults := ledger.Verify(blocks, key)
	records, chains := 0, map[ledger.Chain]bool{}
	for _, b := range blocks {
		records += len(b.Records)
		chains[b.Chain] = true
	}
	for _, f := range faults {
		fmt.Fprintln(c.Root().Writer, f) //nolint:errcheck // a failed write cannot be reported elsewhere.
	}
	if len(faults) > 0 {
		return eris.Errorf("%d faults in the ledger", len(faults))
	}
	_, err = fmt.Fprintf(c.Root().Writer, "no fault: %d chains, %d blocks, %d records\n", len(chains), len(blocks), records)
	return err
}

func readPublicKey(file string) (ed25519.PublicKey, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the public key")
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, eris.Errorf("%s contains no PEM block", file)
	}
	parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
	key, ok := parsed.(ed25519.PublicKey)
	if err != nil || !ok {
		return nil, eris.Errorf("%s contains no Ed25519 public key", file)
	}
	return key, nil
}

func auditExport(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{eris.New("audit export takes one file")}
	}
	blocks, err := readLedger(ctx, c)
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(c.Args().First(), ledger.Encode(blocks), exportFileMode), "write the export")
}

// auditExplanation is the JSON form of a request's records in the ledger.
type auditExplanation struct {
	Request string   `json:"request_id"`
	Steps   []string `json:"steps"`
	// EarlierGrants describes the grants that the same cell made just before
	// the request's own.
	EarlierGrants []string `json:"served_before"`
}

func auditExplain(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{eris.New("audit explain takes one request id")}
	}
	blocks, err := readLedger(ctx, c)
	if err != nil {
		return err
	}
	explanation := explainFromLedger(ledger.Merge(blocks), ident.RequestID(c.Args().First()))
	if len(explanation.Steps) == 0 {
		return eris.Errorf("request %s is not in the ledger", explanation.Request)
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(explanation)
	}
	for _, s := range explanation.Steps {
		fmt.Fprintln(c.Root().Writer, s) //nolint:errcheck // a failed write cannot be reported elsewhere.
	}
	for _, s := range explanation.EarlierGrants {
		fmt.Fprintln(c.Root().Writer, "served before it: "+s) //nolint:errcheck // a failed write cannot be reported elsewhere.
	}
	return nil
}

// explainFromLedger collects the steps of a request and the grants before its
// own.
func explainFromLedger(records []ledger.Record, id ident.RequestID) auditExplanation {
	explanation := auditExplanation{Request: string(id)}
	var grants []ledger.Record
	for _, r := range records {
		if r.Event == trace.Granted && r.Request != id {
			grants = append(grants, r)
		}
		if r.Request != id {
			continue
		}
		explanation.Steps = append(explanation.Steps, r.Sentence())
		if r.Event == trace.Granted {
			explanation.EarlierGrants = earlierGrants(grants, r)
		}
	}
	return explanation
}

// earlierGrants describes the last maxEarlierGrants of the grants made by own's
// cell, oldest first.
func earlierGrants(grants []ledger.Record, own ledger.Record) []string {
	var lines []string
	for _, g := range slices.Backward(grants) {
		if g.Cell == own.Cell && len(lines) < maxEarlierGrants {
			lines = append(lines, fmt.Sprintf("%s of account %s in tier %s, as decision %d, after waiting %s", g.Request, g.Account, g.Tier, g.Sequence, g.Waited))
		}
	}
	slices.Reverse(lines)
	return lines
}
