package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/diff"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"goldcrestwick/internal/connection/front"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/repo"
)

const (
	operatorKeyEnv     = "GOLDCRESTWICK_OPERATOR_KEY"
	statusPollInterval = time.Second
	rootName           = "root"
)

// storedSettingsCommands returns the commands for the settings in the platform's
// store.
func storedSettingsCommands() []*cli.Command {
	node := &cli.StringFlag{Name: "node", Usage: "operator `ADDRESS` of any entry node", Required: true}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "write JSON"}
	keyNote := "The operator's key is read from the environment variable " + operatorKeyEnv + "."
	return []*cli.Command{
		{
			Name: "init", Usage: "store the settings tree in a directory as the first version", ArgsUsage: "DIR",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's store, as IP:PORT", Required: true},
				&cli.StringFlag{Name: "operator", Usage: "operator `NAME` recorded in the history", Value: rootName},
			},
			Action: initSettings,
		},
		{
			Name: "get", Usage: "print the settings file of a team, or of root", ArgsUsage: "TEAM",
			Description: keyNote + " The version is printed to standard error.",
			Flags:       []cli.Flag{node, asJSON}, Action: getSettings,
		},
		{
			Name: "put", Usage: "store a file as the next version", ArgsUsage: "TEAM FILE",
			Description: keyNote + "\nA put whose response was lost can be repeated with the same --token; it is applied only once.\n" +
				"Exit codes: 0 accepted, 1 conflict or no response, 2 faults in the file.",
			Flags: []cli.Flag{
				node,
				&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the file is based on", Required: true},
				&cli.StringFlag{Name: "token", Usage: "`TOKEN` that identifies this change; generated if not given"},
			},
			Action: putSettings,
		},
		{
			Name: "diff", Usage: "compare a file with the version in force", ArgsUsage: "TEAM FILE",
			Description: keyNote + " Exit codes: 0 equal, 1 different.", Flags: []cli.Flag{node}, Action: diffSettings,
		},
		{Name: "history", Usage: "list the latest changes", Flags: []cli.Flag{node, asJSON}, Action: settingsHistory},
		{
			Name: "status", Usage: "show each node's version in force, and since when",
			Description: "Exit codes: 0 all nodes have the same version, 1 otherwise.",
			Flags:       []cli.Flag{node, asJSON}, Action: settingsStatus,
		},
		{Name: "watch", Usage: "print the status, and again whenever it changes", Flags: []cli.Flag{node}, Action: watchSettings},
	}
}

// settingsFileName returns the name of a team's file in the settings tree.
func settingsFileName(team string) string {
	if team == rootName {
		return rootName + ".ini"
	}
	return "teams/" + team + ".ini"
}

func initSettings(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{eris.New("settings init takes one directory")}
	}
	files, err := readTreeFiles(c.Args().First())
	if err != nil {
		return usageError{err}
	}
	client := newStoreClient(c.String("store"))
	r := &repo.Repo{Transact: client.Transact, Get: client.Get}
	if err := r.Init(ctx, files, c.String("operator")); err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, "version 1") //nolint:errcheck // a failed write cannot be reported elsewhere.
	return nil
}

// readTreeFiles reads the files of a settings tree, by name, without parsing
// them.
func readTreeFiles(dir string) (map[string][]byte, error) {
	files := map[string][]byte{}
	names, err := filepath.Glob(filepath.Join(dir, "teams", "*.ini"))
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	for _, name := range append(names, filepath.Join(dir, "root.ini")) {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrap(err, "read settings")
		}
		fileName := filepath.Base(name)
		if fileName != "root.ini" {
			fileName = path.Join("teams", fileName)
		}
		files[fileName] = raw
	}
	return files, nil
}

// operatorRequest sends a request with the operator's key and decodes the JSON
// response into reply.
func operatorRequest(ctx context.Context, c *cli.Command, method, path string, body []byte, header map[string]string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, 3*queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.String("node")+path, bytes.NewReader(body))
	if err != nil {
		return usageError{err}
	}
	req.Header.Set("Authorization", "Bearer "+os.Getenv(operatorKeyEnv))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := nodeClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "query the node")
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read.
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return eris.Wrap(err, "read the node's response")
	}
	if resp.StatusCode != http.StatusOK {
		return settingsError(resp.StatusCode, raw)
	}
	return eris.Wrap(json.Unmarshal(raw, reply), "decode the node's response")
}

// settingsError returns the error for a response with a status other than 200.
// It is a usageError if the settings themselves are invalid.
func settingsError(status int, raw []byte) error {
	var f front.SettingsError
	if json.Unmarshal(raw, &f) != nil {
		return eris.Errorf("node responded with status %d: %s", status, raw)
	}
	message := f.Message
	for _, finding := range f.Findings {
		message += "\n" + finding
	}
	if f.CurrentText != "" {
		message += "\nthe file's current text:\n" + f.CurrentText
	}
	err := eris.New(message)
	if status == http.StatusUnprocessableEntity {
		return usageError{err}
	}
	return err
}

func getSettings(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{eris.New("settings get takes the name of a team, or root")}
	}
	f, err := fetchSettingsFile(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(f)
	}
	fmt.Fprintln(c.Root().ErrWriter, "version", f.Version) //nolint:errcheck // a failed write cannot be reported elsewhere.
	_, err = io.WriteString(c.Root().Writer, f.Text)
	return err
}

func fetchSettingsFile(ctx context.Context, c *cli.Command) (front.SettingsFile, error) {
	var f front.SettingsFile
	err := operatorRequest(ctx, c, http.MethodGet, "/v1/settings/files/"+settingsFileName(c.Args().First()), nil, nil, &f)
	return f, err
}

func putSettings(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return usageError{eris.New("settings put takes the name of a team, or root, and a file")}
	}
	text, err := os.ReadFile(c.Args().Get(1))
	if err != nil {
		return usageError{err}
	}
	token := c.String("token")
	if token == "" {
		token = ident.NewToken()
		fmt.Fprintln(c.Root().ErrWriter, "token", token) //nolint:errcheck // a failed write cannot be reported elsewhere.
	}
	header := map[string]string{front.BaseVersionHeader: strconv.FormatUint(c.Uint64("base"), 10), front.ChangeTokenHeader: token}
	var f front.SettingsFile
	if err := operatorRequest(ctx, c, http.MethodPut, "/v1/settings/files/"+settingsFileName(c.Args().First()), text, header, &f); err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, "version", f.Version) //nolint:errcheck // a failed write cannot be reported elsewhere.
	return nil
}

func diffSettings(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return usageError{eris.New("settings diff takes the name of a team, or root, and a file")}
	}
	text, err := os.ReadFile(c.Args().Get(1))
	if err != nil {
		return usageError{err}
	}
	f, err := fetchSettingsFile(ctx, c)
	if err != nil {
		return err
	}
	changes := diff.Diff(fmt.Sprint("version ", f.Version), []byte(f.Text), c.Args().Get(1), text)
	if len(changes) == 0 {
		return nil
	}
	if _, err := c.Root().Writer.Write(changes); err != nil {
		return err
	}
	return eris.Errorf("the file differs from version %d", f.Version)
}

func settingsHistory(ctx context.Context, c *cli.Command) error {
	var all []front.SettingsChange
	if err := operatorRequest(ctx, c, http.MethodGet, "/v1/settings/history", nil, nil, &all); err != nil {
		return err
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(all)
	}
	for _, change := range all {
		fmt.Fprintf(c.Root().Writer, "%d\t%s\t%s\t%s\n", change.Version, change.Time, change.File, change.Operator) //nolint:errcheck // a failed write cannot be reported elsewhere.
	}
	return nil
}

func settingsStatus(ctx context.Context, c *cli.Command) error {
	all, err := fetchSettingsStatus(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = json.NewEncoder(c.Root().Writer).Encode(all)
	} else {
		_, err = io.WriteString(c.Root().Writer, formatSettingsStatus(all))
	}
	if err != nil {
		return err
	}
	for _, s := range all {
		if s.Problem != "" || s.Version != all[0].Version {
			return eris.New("the nodes do not all have the same version")
		}
	}
	return nil
}

func fetchSettingsStatus(ctx context.Context, c *cli.Command) ([]front.SettingsStatus, error) {
	var all []front.SettingsStatus
	err := operatorRequest(ctx, c, http.MethodGet, "/v1/settings/status", nil, nil, &all)
	return all, err
}

func formatSettingsStatus(all []front.SettingsStatus) string {
	var b strings.Builder
	for _, s := range all {
		if s.Problem != "" {
			fmt.Fprintf(&b, "%s\tnot reached: %s\n", s.Node, s.Problem)
			continue
		}
		fmt.Fprintf(&b, "%s\tversion %d\tsince %s\n", s.Node, s.Version, time.UnixMilli(s.SinceUnixMilli).UTC().Format(time.RFC3339Nano))
	}
	return b.String()
}

func watchSettings(ctx context.Context, c *cli.Command) error {
	lastText := ""
	for ctx.Err() == nil {
		all, err := fetchSettingsStatus(ctx, c)
		text := formatSettingsStatus(all)
		if err != nil {
			text = err.Error() + "\n"
		}
		if text != lastText {
			lastText = text
			fmt.Fprintf(c.Root().Writer, "%s\n%s", time.Now().UTC().Format(time.RFC3339), text) //nolint:errcheck // a failed write cannot be reported elsewhere.
		}
		select {
		case <-ctx.Done():
		case <-time.After(statusPollInterval):
		}
	}
	return nil
}
