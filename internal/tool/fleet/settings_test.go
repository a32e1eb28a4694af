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

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/pipes"
	"goldcrestwick/internal/version/config"
	"goldcrestwick/internal/version/repo"
)

// inForceWithin is the stated target for a change, under any one fault.
const inForceWithin = 9 * time.Second

const teamFile = "teams/team.ini"

// settingsCase is a fleet that follows the platform's settings. It watches
// every node all the time for a version that goes back.
type settingsCase struct {
	*testing.T
	net   *pipes.Net
	fleet *Fleet
	stop  chan struct{}
	watch sync.WaitGroup
}

func withSettings(t *testing.T, nodes int, run func(*settingsCase)) {
	synctest.Test(t, func(t *testing.T) {
		files := map[string][]byte{"root.ini": []byte("[fleet]\nregion = r\n"), teamFile: []byte(caseTree)}
		tree, err := config.Parse(files, 1)
		qt.Assert(t, err, qt.IsNil)
		c := &settingsCase{T: t, net: &pipes.Net{}, stop: make(chan struct{})}
		c.fleet, err = Start(Options{Tree: tree, Nodes: nodes, Network: InMemory(c.net), Files: files})
		qt.Assert(t, err, qt.IsNil)
		for _, n := range c.fleet.Nodes {
			c.watchNode(n)
		}
		run(c)
		close(c.stop)
		c.watch.Wait()
		c.fleet.Platform.SetFault(nil)
		c.net.Heal()
		c.fleet.Stop()
		time.Sleep(lastTimeout)
	})
}

func (c *settingsCase) watchNode(n *Node) {
	c.watch.Go(func() {
		highest := ident.Version(0)
		for {
			v := n.Settings().Version
			qt.Check(c, v >= highest, qt.IsTrue, qt.Commentf("%s went from version %d back to %d", n.Process.Name, highest, v))
			highest = max(highest, v)
			select {
			case <-c.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
}

// put changes the weight of account a.
func (c *settingsCase) put(n *Node, weight int, base ident.Version, token string) (ident.Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	text := strings.Replace(caseTree, "[account.a]", fmt.Sprintf("[account.a]\nweight = %d", weight), 1)
	return n.PutSettings(ctx, repo.Change{File: teamFile, Text: []byte(text), Base: base, Operator: "op", Token: token})
}

// inForce waits until all given nodes have a version and returns how long it
// took.
func (c *settingsCase) inForce(v ident.Version, nodes ...*Node) time.Duration {
	began := time.Now()
	for time.Since(began) < time.Minute {
		all := true
		for _, n := range nodes {
			all = all && n.Settings().Version >= v
		}
		if all {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// TestSettingsSpread changes the settings under each fault and checks that they
// are in force everywhere within the target.
func TestSettingsSpread(t *testing.T) {
	for name, fault := range map[string]func(*settingsCase){
		"none": func(*settingsCase) {},
		"store_down_after": func(c *settingsCase) {
			c.fleet.Platform.SetFault(func(cloud.Op) cloud.Fault { return cloud.Fault{Down: true} })
		},
		"store_slow": func(c *settingsCase) {
			c.fleet.Platform.SetFault(func(cloud.Op) cloud.Fault { return cloud.Fault{Delay: time.Second} })
		},
		"link_cut": func(c *settingsCase) {
			c.net.Cut("node-1", "node-4", true)
			c.net.Cut("node-4", "node-1", true)
		},
		"store_link_cut": func(c *settingsCase) { c.net.Cut("node-4", PlatformHost, true) },
	} {
		t.Run(name, func(t *testing.T) {
			withSettings(t, 6, func(c *settingsCase) {
				v, err := c.put(c.fleet.Nodes[0], 5, 1, "t1")
				fault(c)
				qt.Assert(c, err, qt.IsNil)
				qt.Assert(c, v, qt.Equals, ident.Version(2))
				took := c.inForce(v, c.fleet.Nodes...)
				qt.Assert(c, took <= inForceWithin, qt.IsTrue, qt.Commentf("in force after %s", took))
				for _, n := range c.fleet.Nodes {
					qt.Assert(c, n.Settings().Account("team/a").Weight, qt.Equals, 5)
				}
			})
		})
	}
}

// TestSettingsNodeDies kills the node that accepted a change right after.
func TestSettingsNodeDies(t *testing.T) {
	withSettings(t, 6, func(c *settingsCase) {
		v, err := c.put(c.fleet.Nodes[0], 5, 1, "t1")
		qt.Assert(c, err, qt.IsNil)
		c.net.Kill(c.fleet.Nodes[0].Host)
		c.fleet.Nodes[0].Kill()
		took := c.inForce(v, c.fleet.Nodes[1:]...)
		qt.Assert(c, took <= inForceWithin, qt.IsTrue, qt.Commentf("in force after %s", took))
	})
}

// TestSettingsStart checks that a node that starts is not ready before it has
// the newest version, also when only its peers know it.
func TestSettingsStart(t *testing.T) {
	withSettings(t, 3, func(c *settingsCase) {
		v, err := c.put(c.fleet.Nodes[0], 5, 1, "t1")
		qt.Assert(c, err, qt.IsNil)
		c.inForce(v, c.fleet.Nodes...)
		c.fleet.Platform.SetFault(func(op cloud.Op) cloud.Fault { return cloud.Fault{Down: op.Table != cloud.InstanceTable} })
		n, err := c.fleet.AddNode("z1")
		qt.Assert(c, err, qt.IsNil)
		qt.Assert(c, n.Settings().Version, qt.Equals, v)
		c.watchNode(n)
	})
}

// TestSettingsRace lets operators change the same file at once, with answers
// of the store lost: exactly one wins, and a repeat of its put finds it.
func TestSettingsRace(t *testing.T) {
	for _, lose := range []bool{false, true} {
		t.Run(fmt.Sprint("lose=", lose), func(t *testing.T) {
			withSettings(t, 3, func(c *settingsCase) {
				c.fleet.Platform.SetFault(func(op cloud.Op) cloud.Fault { return cloud.Fault{LoseAnswer: lose && op.Write} })
				if lose {
					time.AfterFunc(3*time.Second, func() { c.fleet.Platform.SetFault(nil) })
				}
				versions := make([]ident.Version, 3)
				errs := make([]error, 3)
				var running sync.WaitGroup
				for i, n := range c.fleet.Nodes {
					running.Go(func() { versions[i], errs[i] = c.put(n, i+2, 1, fmt.Sprint("t", i)) })
				}
				running.Wait()
				won := -1
				for i, err := range errs {
					if err == nil {
						qt.Assert(c, won, qt.Equals, -1, qt.Commentf("two won"))
						won = i
						continue
					}
					var conflict *repo.Conflict
					qt.Assert(c, errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
					qt.Assert(c, string(conflict.OtherText), qt.Contains, "weight")
				}
				qt.Assert(c, won >= 0, qt.IsTrue)
				qt.Assert(c, versions[won], qt.Equals, ident.Version(2))
				again, err := c.put(c.fleet.Nodes[0], won+2, 1, fmt.Sprint("t", won))
				qt.Assert(c, err, qt.IsNil)
				qt.Assert(c, again, qt.Equals, ident.Version(2))
				c.inForce(2, c.fleet.Nodes...)
				for _, n := range c.fleet.Nodes {
					qt.Assert(c, n.Settings().Account("team/a").Weight, qt.Equals, won+2)
				}
			})
		})
	}
}

// TestSettingsFindings checks that a faulty change is refused whole.
func TestSettingsFindings(t *testing.T) {
	withSettings(t, 3, func(c *settingsCase) {
		_, err := c.fleet.Nodes[0].PutSettings(context.Background(), repo.Change{
			File: teamFile, Text: []byte("[account.a]\ntier = none\n"), Base: 1, Token: "t",
		})
		var findings config.Findings
		qt.Assert(c, errors.As(err, &findings), qt.IsTrue)
		qt.Assert(c, len(findings) >= 2, qt.IsTrue)
		time.Sleep(inForceWithin)
		for _, n := range c.fleet.Nodes {
			qt.Assert(c, n.Settings().Version, qt.Equals, ident.Version(1))
		}
	})
}
