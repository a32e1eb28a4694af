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
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/repo"
)

const (
	operatorEnv   = "GOLDCRESTWICK_OPERATOR_KEY"
	watchInterval = time.Second
	rootName      = "root"
)

// platformCommands work with the settings that the platform holds.
func platformCommands() []*cli.Command {
	node := &cli.StringFlag{Name: "node", Usage: "operator `ADDRESS` of any entry node", Required: true}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "write JSON"}
	keyNote := "The operator's key is taken from the environment variable " + operatorEnv + "."
	return []*cli.Command{
		{
			Name: "init", Usage: "write the first settings from a directory", ArgsUsage: "DIR",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's store, as IP:PORT", Required: true},
				&cli.StringFlag{Name: "operator", Usage: "`NAME` for the history", Value: rootName},
			},
			Action: initSettings,
		},
		{
			Name: "get", Usage: "print a team's file, or root", ArgsUsage: "TEAM",
			Description: keyNote + " The version is printed to standard error.",
			Flags:       []cli.Flag{node, asJSON}, Action: getSettings,
		},
		{
			Name: "put", Usage: "make a file the next version", ArgsUsage: "TEAM FILE",
			Description: keyNote + "\nA put whose answer was lost is repeated with the same --token and finds itself.\n" +
				"Exit codes: 0 accepted, 1 conflict or no answer, 2 faults in the file.",
			Flags: []cli.Flag{
				node,
				&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the file was made from", Required: true},
				&cli.StringFlag{Name: "token", Usage: "`NAME` of this change; drawn when it is not given"},
			},
			Action: putSettings,
		},
		{
			Name: "diff", Usage: "compare a file with the version in force", ArgsUsage: "TEAM FILE",
			Description: keyNote + " Exit codes: 0 equal, 1 different.", Flags: []cli.Flag{node}, Action: diffSettings,
		},
		{Name: "history", Usage: "list the latest changes", Flags: []cli.Flag{node, asJSON}, Action: settingsHistory},
		{
			Name: "status", Usage: "show the version in force at every node, and since when",
			Description: "Exit codes: 0 all nodes have the same version, 1 otherwise.",
			Flags:       []cli.Flag{node, asJSON}, Action: settingsStatus,
		},
		{Name: "watch", Usage: "print the status again whenever it changes", Flags: []cli.Flag{node}, Action: watchSettings},
	}
}

func fileOf(team string) string {
	if team == rootName {
		return rootName + ".ini"
	}
	return "teams/" + team + ".ini"
}

func initSettings(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{eris.New("settings init takes one directory")}
	}
	files, err := readTree(c.Args().First())
	if err != nil {
		return usageError{err}
	}
	client := newStoreClient(c.String("store"))
	r := &repo.Repo{Transact: client.Transact, Get: client.Get}
	if err := r.Init(ctx, files, c.String("operator")); err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, "version 1") //nolint:errcheck // nowhere else to tell it.
	return nil
}

// readTree reads the files of a tree as they are.
func readTree(dir string) (map[string][]byte, error) {
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
		short := filepath.Base(name)
		if short != "root.ini" {
			short = path.Join("teams", short)
		}
		files[short] = raw
	}
	return files, nil
}

// operate sends an operator's request and reads a JSON answer into reply.
func operate(ctx context.Context, c *cli.Command, method, path string, body []byte, header map[string]string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, 3*askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.String("node")+path, bytes.NewReader(body))
	if err != nil {
		return usageError{err}
	}
	req.Header.Set("Authorization", "Bearer "+os.Getenv(operatorEnv))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "ask the node")
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end.
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return eris.Wrap(err, "answer of the node")
	}
	if resp.StatusCode != http.StatusOK {
		return faultOf(resp.StatusCode, raw)
	}
	return eris.Wrap(json.Unmarshal(raw, reply), "answer of the node")
}

func faultOf(status int, raw []byte) error {
	var f front.SettingsFault
	if json.Unmarshal(raw, &f) != nil {
		return eris.Errorf("the node answered %d: %s", status, raw)
	}
	message := f.Message
	for _, finding := range f.Findings {
		message += "\n" + finding
	}
	if f.Theirs != "" {
		message += "\nthe file as it stands since then:\n" + f.Theirs
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
	f, err := settingsFile(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(f)
	}
	fmt.Fprintln(c.Root().ErrWriter, "version", f.Version) //nolint:errcheck // nowhere else to tell it.
	_, err = io.WriteString(c.Root().Writer, f.Text)
	return err
}

func settingsFile(ctx context.Context, c *cli.Command) (front.SettingsFile, error) {
	var f front.SettingsFile
	err := operate(ctx, c, http.MethodGet, "/v1/settings/files/"+fileOf(c.Args().First()), nil, nil, &f)
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
	change := c.String("token")
	if change == "" {
		change = ident.NewToken()
		fmt.Fprintln(c.Root().ErrWriter, "token", change) //nolint:errcheck // nowhere else to tell it.
	}
	header := map[string]string{front.BaseHeader: strconv.FormatUint(c.Uint64("base"), 10), front.ChangeHeader: change}
	var f front.SettingsFile
	if err := operate(ctx, c, http.MethodPut, "/v1/settings/files/"+fileOf(c.Args().First()), text, header, &f); err != nil {
		return err
	}
	fmt.Fprintln(c.Root().Writer, "version", f.Version) //nolint:errcheck // nowhere else to tell it.
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
	f, err := settingsFile(ctx, c)
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
	if err := operate(ctx, c, http.MethodGet, "/v1/settings/history", nil, nil, &all); err != nil {
		return err
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(all)
	}
	for _, p := range all {
		fmt.Fprintf(c.Root().Writer, "%d\t%s\t%s\t%s\n", p.Version, p.Time, p.File, p.Operator) //nolint:errcheck // nowhere else to tell it.
	}
	return nil
}

func settingsStatus(ctx context.Context, c *cli.Command) error {
	all, err := statusOf(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = json.NewEncoder(c.Root().Writer).Encode(all)
	} else {
		_, err = io.WriteString(c.Root().Writer, statusText(all))
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

func statusOf(ctx context.Context, c *cli.Command) ([]front.SettingsStatus, error) {
	var all []front.SettingsStatus
	err := operate(ctx, c, http.MethodGet, "/v1/settings/status", nil, nil, &all)
	return all, err
}

func statusText(all []front.SettingsStatus) string {
	var b strings.Builder
	for _, s := range all {
		if s.Problem != "" {
			fmt.Fprintf(&b, "%s\tnot reached: %s\n", s.Node, s.Problem)
			continue
		}
		fmt.Fprintf(&b, "%s\tversion %d\tsince %s\n", s.Node, s.Version, time.UnixMilli(s.Since).UTC().Format(time.RFC3339Nano))
	}
	return b.String()
}

func watchSettings(ctx context.Context, c *cli.Command) error {
	last := ""
	for ctx.Err() == nil {
		all, err := statusOf(ctx, c)
		text := statusText(all)
		if err != nil {
			text = err.Error() + "\n"
		}
		if text != last {
			last = text
			fmt.Fprintf(c.Root().Writer, "%s\n%s", time.Now().UTC().Format(time.RFC3339), text) //nolint:errcheck // nowhere else to tell it.
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
	return nil
}
