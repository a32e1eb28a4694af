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
	"goldcrestwick/internal/connection/reply"
)

const (
	queryTimeout  = 10 * time.Second
	maxReplyBytes = 8 << 20
	accountKeyEnv = "GOLDCRESTWICK_KEY"
)

func addressesCommand() *cli.Command {
	return &cli.Command{
		Name:        "addresses",
		Usage:       "print the entry addresses that a client account should use",
		Description: "The account's key is read from the environment variable " + accountKeyEnv + ".",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "caller `ADDRESS` of any entry node", Required: true},
			&cli.StringFlag{Name: "availability-zone", Usage: "the caller's own `ZONE`, listed first"},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
		Action: printAddresses,
	}
}

func printAddresses(ctx context.Context, c *cli.Command) error {
	path := "/v1/addresses?availability_zone=" + url.QueryEscape(c.String("availability-zone"))
	raw, err := queryNode(ctx, c.String("node"), path, os.Getenv(accountKeyEnv))
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
		return eris.Wrap(err, "decode the node's response")
	}
	for _, a := range list.Addresses {
		fmt.Fprintf(c.Root().Writer, "%s\t%s\t%s\n", a.Address, a.Zone, a.Node) //nolint:errcheck // a failed write cannot be reported elsewhere.
	}
	fmt.Fprintf(c.Root().Writer, "valid for %d s\n", list.TTL) //nolint:errcheck // a failed write cannot be reported elsewhere.
	return nil
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "explain the scheduling decisions for a request",
		ArgsUsage:   "REQUEST_ID",
		Description: "All nodes are queried; each keeps the steps of its latest 16,384 requests.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "operator `ADDRESS` of any entry node", Required: true},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
		Action: printExplanation,
	}
}

func printExplanation(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{eris.New("explain takes one request id")}
	}
	raw, err := queryNode(ctx, c.String("node"), "/v1/explain/"+url.PathEscape(c.Args().First()), "")
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err := c.Root().Writer.Write(raw)
		return err
	}
	var explanation front.Explanation
	if err := json.Unmarshal(raw, &explanation); err != nil {
		return eris.Wrap(err, "decode the node's response")
	}
	for _, step := range explanation.Steps {
		fmt.Fprintln(c.Root().Writer, step.Sentence) //nolint:errcheck // a failed write cannot be reported elsewhere.
	}
	return nil
}

// nodeClient sends requests to nodes.
var nodeClient = http.Client{Transport: &reply.Transport{Transport: http.Transport{Proxy: http.ProxyFromEnvironment}}}

// queryNode sends a GET request to an entry node and returns the body of the
// response. It sends key as the bearer key unless key is empty. A status other
// than 200 is an error.
func queryNode(ctx context.Context, node, path, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+path, nil)
	if err != nil {
		return nil, usageError{err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := nodeClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "query the node")
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read.
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read the node's response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("node responded with status %d: %s", resp.StatusCode, raw)
	}
	return raw, nil
}
