package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"goldcrestwick/internal/connection/front"
)

const (
	askTimeout = 10 * time.Second
	maxReply   = 8 << 20
	keyEnv     = "GOLDCRESTWICK_KEY"
)

func addressesCommand() *cli.Command {
	return &cli.Command{
		Name:        "addresses",
		Usage:       "print the entry addresses that a client account should use",
		Description: "The account's key is taken from the environment variable " + keyEnv + ".",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "caller `ADDRESS` of any entry node", Required: true},
			&cli.StringFlag{Name: "availability-zone", Usage: "the caller's own `ZONE`, listed first"},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
		Action: addresses,
	}
}

func addresses(ctx context.Context, c *cli.Command) error {
	path := "/v1/addresses?availability_zone=" + url.QueryEscape(c.String("availability-zone"))
	raw, err := ask(ctx, c.String("node"), path, os.Getenv(keyEnv))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err := c.Root().Writer.Write(raw)
		return err
	}
	var list struct {
		Addresses []struct {
			Node    string `json:"node"`
			Address string `json:"address"`
			Zone    string `json:"availability_zone"`
		} `json:"addresses"`
		TTL int `json:"ttl_seconds"`
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return eris.Wrap(err, "answer of the node")
	}
	for _, a := range list.Addresses {
		fmt.Fprintf(c.Root().Writer, "%s\t%s\t%s\n", a.Address, a.Zone, a.Node) //nolint:errcheck // nowhere else to tell it.
	}
	fmt.Fprintf(c.Root().Writer, "keep for %d s\n", list.TTL) //nolint:errcheck // nowhere else to tell it.
	return nil
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "tell why a request was decided as it was",
		ArgsUsage:   "REQUEST_ID",
		Description: "Every node is asked for what it remembers; a node remembers its latest 16,384 requests.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "operator `ADDRESS` of any entry node", Required: true},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
		Action: explain,
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{eris.New("explain takes one request id")}
	}
	raw, err := ask(ctx, c.String("node"), "/v1/explain/"+url.PathEscape(c.Args().First()), "")
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err := c.Root().Writer.Write(raw)
		return err
	}
	var e front.Explanation
	if err := json.Unmarshal(raw, &e); err != nil {
		return eris.Wrap(err, "answer of the node")
	}
	for _, s := range e.Steps {
		fmt.Fprintln(c.Root().Writer, s.Sentence) //nolint:errcheck // nowhere else to tell it.
	}
	return nil
}

func ask(ctx context.Context, node, path, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+path, nil)
	if err != nil {
		return nil, usageError{err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "ask the node")
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end.
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, eris.Wrap(err, "answer of the node")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the node answered %d: %s", resp.StatusCode, raw)
	}
	return raw, nil
}
