package fleet

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/pipes"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
)

// propagationTarget is the longest time that a settings change may take to be in
// force on all nodes, under any single fault.
const propagationTarget = 9 * time.Second

const teamFile = "teams/team.ini"

// settingsCase is a fleet that reads its settings from the platform. It checks
// throughout the test that no node's settings version decreases.
type settingsCase struct {
	*testing.T
	net      *pipes.Network
	fleet    *Fleet
	stop     chan struct{}
	watchers sync.WaitGroup
}

func runSettingsCase(t *testing.T, nodes int, run func(*settingsCase)) {
	synctest.Test(t, func(t *testing.T) {
		files := map[string][]byte{"root.ini": []byte("[fleet]\nregion = r\n"), teamFile: []byte(caseTree)}
		tree, err := config.Parse(files, 1)
		qt.Assert(t, err, qt.IsNil)
		c := &settingsCase{T: t, net: &pipes.Network{}, stop: make(chan struct{})}
		c.fleet, err = Start(Options{Tree: tree, Nodes: nodes, Network: InMemory(c.net), Files: files})
		qt.Assert(t, err, qt.IsNil)
		for _, n := range c.fleet.Nodes {
			c.watchNode(n)
		}
		run(c)
		close(c.stop)
		c.watchers.Wait()
		c.fleet.Platform.SetFault(nil)
		c.net.Heal()
		c.fleet.Stop()
		time.Sleep(cleanupTime)
	})
}

func (c *settingsCase) watchNode(n *Node) {
	c.watchers.Go(func() {
		highest := ident.Version(0)
		for {
			v := n.Settings().Version
			qt.Check(c, v >= highest, qt.IsTrue, qt.Commentf("settings version of %s decreased from %d to %d", n.Process.Name, highest, v))
			highest = max(highest, v)
			select {
			case <-c.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
}

// putWeight sets the weight of account a through a node.
func (c *settingsCase) putWeight(n *Node, weight int, base ident.Version, token string) (ident.Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	text := strings.Replace(caseTree, "[account.a]", fmt.Sprintf("[account.a]\nweight = %d", weight), 1)
	return n.PutSettings(ctx, repo.Change{File: teamFile, Text: []byte(text), Base: base, Operator: "op", Token: token})
}

// waitForVersion waits up to a minute until the settings version of all given
// nodes is at least v, and returns how long it waited: a minute or more if the
// version was not reached.
func (c *settingsCase) waitForVersion(v ident.Version, nodes ...*Node) time.Duration {
	started := time.Now()
	for time.Since(started) < time.Minute {
		reached := true
		for _, n := range nodes {
			reached = reached && n.Settings().Version >= v
		}
		if reached {
			return time.Since(started)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

// TestSettingsPropagation injects each fault right after a settings change was
// stored, and checks that the change is in force on all nodes within
// propagationTarget.
func TestSettingsPropagation(t *testing.T) {
	for name, fault := range map[string]func(*settingsCase){
		"none": func(*settingsCase) {},
		"store_down": func(c *settingsCase) {
			c.fleet.Platform.SetFault(func(cloud.Op) cloud.Fault { return cloud.Fault{Unavailable: true} })
		},
		"store_slow": func(c *settingsCase) {
			c.fleet.Platform.SetFault(func(cloud.Op) cloud.Fault { return cloud.Fault{Delay: time.Second} })
		},
		"link_cut": func(c *settingsCase) {
			c.net.SetBlocked("node-1", "node-4", true)
			c.net.SetBlocked("node-4", "node-1", true)
		},
		"store_link_cut": func(c *settingsCase) { c.net.SetBlocked("node-4", PlatformHost, true) },
	} {
		t.Run(name, func(t *testing.T) {
			runSettingsCase(t, 6, func(c *settingsCase) {
				v, err := c.putWeight(c.fleet.Nodes[0], 5, 1, "t1")
				fault(c)
				qt.Assert(c, err, qt.IsNil)
				qt.Assert(c, v, qt.Equals, ident.Version(2))
				elapsed := c.waitForVersion(v, c.fleet.Nodes...)
				qt.Assert(c, elapsed <= propagationTarget, qt.IsTrue, qt.Commentf("in force after %s", elapsed))
				for _, n := range c.fleet.Nodes {
					qt.Assert(c, n.Settings().Account("team/a").Weight, qt.Equals, 5)
				}
			})
		})
	}
}

// TestSettingsNodeCrash kills the node that accepted a change right after the
// change was stored; the other nodes must still apply it.
func TestSettingsNodeCrash(t *testing.T) {
	runSettingsCase(t, 6, func(c *settingsCase) {
		v, err := c.putWeight(c.fleet.Nodes[0], 5, 1, "t1")
		qt.Assert(c, err, qt.IsNil)
		c.net.Kill(c.fleet.Nodes[0].Host)
		c.fleet.Nodes[0].Kill()
		elapsed := c.waitForVersion(v, c.fleet.Nodes[1:]...)
		qt.Assert(c, elapsed <= propagationTarget, qt.IsTrue, qt.Commentf("in force after %s", elapsed))
	})
}

// TestSettingsAtNodeStart checks that a node that starts while the settings cannot
// be read from the store has the latest version, from its peers, by the time
// AddNode returns.
func TestSettingsAtNodeStart(t *testing.T) {
	runSettingsCase(t, 3, func(c *settingsCase) {
		v, err := c.putWeight(c.fleet.Nodes[0], 5, 1, "t1")
		qt.Assert(c, err, qt.IsNil)
		c.waitForVersion(v, c.fleet.Nodes...)
		c.fleet.Platform.SetFault(func(op cloud.Op) cloud.Fault { return cloud.Fault{Unavailable: op.Table != cloud.InstanceTable} })
		n, err := c.fleet.AddNode("z1")
		qt.Assert(c, err, qt.IsNil)
		qt.Assert(c, n.Settings().Version, qt.Equals, v)
		c.watchNode(n)
	})
}

// TestSettingsConcurrentChanges lets three operators change the same file at
// once, also while the store's responses are lost: exactly one change succeeds,
// and a retry with its token returns the same version.
func TestSettingsConcurrentChanges(t *testing.T) {
	for _, loseResponses := range []bool{false, true} {
		t.Run(fmt.Sprint("lose_responses=", loseResponses), func(t *testing.T) {
			runSettingsCase(t, 3, func(c *settingsCase) {
				c.fleet.Platform.SetFault(func(op cloud.Op) cloud.Fault { return cloud.Fault{DropResponse: loseResponses && op.IsWrite} })
				if loseResponses {
					time.AfterFunc(3*time.Second, func() { c.fleet.Platform.SetFault(nil) })
				}
				versions := make([]ident.Version, 3)
				errs := make([]error, 3)
				var running sync.WaitGroup
				for i, n := range c.fleet.Nodes {
					running.Go(func() { versions[i], errs[i] = c.putWeight(n, i+2, 1, fmt.Sprint("t", i)) })
				}
				running.Wait()
				winner := -1
				for i, err := range errs {
					if err == nil {
						qt.Assert(c, winner, qt.Equals, -1, qt.Commentf("two changes succeeded"))
						winner = i
						continue
					}
					var conflict *repo.ConflictError
					qt.Assert(c, errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
					qt.Assert(c, string(conflict.OtherText), qt.Contains, "weight")
				}
				qt.Assert(c, winner >= 0, qt.IsTrue)
				qt.Assert(c, versions[winner], qt.Equals, ident.Version(2))
				retried, err := c.putWeight(c.fleet.Nodes[0], winner+2, 1, fmt.Sprint("t", winner))
				qt.Assert(c, err, qt.IsNil)
				qt.Assert(c, retried, qt.Equals, ident.Version(2))
				c.waitForVersion(2, c.fleet.Nodes...)
				for _, n := range c.fleet.Nodes {
					qt.Assert(c, n.Settings().Account("team/a").Weight, qt.Equals, winner+2)
				}
			})
		})
	}
}

// TestSettingsInvalidChange checks that a change with errors is refused with
// all its findings and leaves the settings version unchanged.
func TestSettingsInvalidChange(t *testing.T) {
	runSettingsCase(t, 3, func(c *settingsCase) {
		_, err := c.fleet.Nodes[0].PutSettings(context.Background(), repo.Change{
			File: teamFile, Text: []byte("[account.a]\ntier = none\n"), Base: 1, Token: "t",
		})
		var findings config.Findings
		qt.Assert(c, errors.As(err, &findings), qt.IsTrue)
		qt.Assert(c, len(findings) >= 2, qt.IsTrue)
		time.Sleep(propagationTarget)
		for _, n := range c.fleet.Nodes {
			qt.Assert(c, n.Settings().Version, qt.Equals, ident.Version(1))
		}
	})
}
