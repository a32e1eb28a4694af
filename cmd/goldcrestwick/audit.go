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

	"goldcrestwick/internal/process/ledger"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/platform"
)

const (
	exportMode = 0o644
	// servedBefore is how many grants before a request's own are told.
	servedBefore = 5
)

func auditCommand() *cli.Command {
	from := []cli.Flag{
		&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's store, as IP:PORT"},
		&cli.StringFlag{Name: "file", Usage: "an exported `FILE`, in place of --store"},
	}
	key := &cli.StringFlag{Name: "key", Usage: "`FILE` with the ledger's public key, as PEM", Required: true}
	return &cli.Command{
		Name:  "audit",
		Usage: "check the ledger, and tell from it alone what was decided",
		Commands: []*cli.Command{
			{
				Name: "verify", Usage: "find changed, missing and moved records",
				Description: "Exit codes: 0 no fault, 1 faults, each with its chain and record.",
				Flags:       append(slices.Clone(from), key), Action: auditVerify,
			},
			{
				Name: "explain", Usage: "tell a request's steps and who was served before it", ArgsUsage: "REQUEST_ID",
				Flags: append(slices.Clone(from), &cli.BoolFlag{Name: "json", Usage: "write JSON"}), Action: auditExplain,
			},
			{
				Name: "export", Usage: "write the whole ledger to one file, for verify --file elsewhere", ArgsUsage: "FILE",
				Flags: from, Action: auditExport,
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
		return nil, usageError{eris.New("--store or --file is needed")}
	}
	objects := platform.NewStore(address).Service()
	names, err := objects.Names(ctx, ledger.Prefix)
	if err != nil {
		return nil, err
	}
	var all []ledger.Block
	for _, name := range names {
		raw, err := objects.Fetch(ctx, name)
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
		fmt.Fprintln(c.Root().Writer, f) //nolint:errcheck // nowhere else to tell it.
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
		return nil, eris.Errorf("%s holds no PEM block", file)
	}
	parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
	key, ok := parsed.(ed25519.PublicKey)
	if err != nil || !ok {
		return nil, eris.Errorf("%s holds no ed25519 public key", file)
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
	return eris.Wrap(os.WriteFile(c.Args().First(), ledger.Encode(blocks), exportMode), "write the export")
}

// account is what the ledger tells of a request.
type account struct {
	Request string   `json:"request_id"`
	Steps   []string `json:"steps"`
	// Before tells the grants of the same cell that came before its own.
	Before []string `json:"served_before"`
}

func auditExplain(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{eris.New("audit explain takes one request id")}
	}
	blocks, err := readLedger(ctx, c)
	if err != nil {
		return err
	}
	a := tell(ledger.Merge(blocks), ident.RequestID(c.Args().First()))
	if len(a.Steps) == 0 {
		return eris.Errorf("the ledger has no request %s", a.Request)
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(a)
	}
	for _, s := range a.Steps {
		fmt.Fprintln(c.Root().Writer, s) //nolint:errcheck // nowhere else to tell it.
	}
	for _, s := range a.Before {
		fmt.Fprintln(c.Root().Writer, "served before it: "+s) //nolint:errcheck // nowhere else to tell it.
	}
	return nil
}

func tell(records []ledger.Record, id ident.RequestID) account {
	a := account{Request: string(id)}
	var grants []ledger.Record
	for _, r := range records {
		if r.Event == trace.Granted && r.Request != id {
			grants = append(grants, r)
		}
		if r.Request != id {
			continue
		}
		a.Steps = append(a.Steps, r.Sentence())
		if r.Event == trace.Granted {
			a.Before = before(grants, r)
		}
	}
	return a
}

// before tells the last grants of a cell before one of its grants.
func before(grants []ledger.Record, own ledger.Record) []string {
	var told []string
	for _, g := range slices.Backward(grants) {
		if g.Cell == own.Cell && len(told) < servedBefore {
			told = append(told, fmt.Sprintf("%s of account %s in tier %s, as decision %d, after waiting %s", g.Request, g.Account, g.Tier, g.Sequence, g.Waited))
		}
	}
	slices.Reverse(told)
	return told
}
