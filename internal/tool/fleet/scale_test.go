package fleet

import (
	"bytes"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/version/config"
)

// These benchmarks measure the costs per node, account and endpoint of
// docs/CAPACITY.md. They run in real time and check nothing.

const (
	warmUp      = 8 * time.Second
	measureTime = 12 * time.Second
)

// countingConn counts the bytes and packets that the nodes send to each other.
type countingConn struct {
	net.PacketConn
	bytes, packets *atomic.Int64
}

func (c countingConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.bytes.Add(int64(len(b)))
	c.packets.Add(1)
	return c.PacketConn.WriteTo(b, to)
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkControlPlane measures the traffic, processor time and memory that
// idle nodes use to stay in contact. Run it with -benchtime 1x.
func BenchmarkControlPlane(b *testing.B) {
	for _, nodes := range []int{3, 6, 12, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			tree, err := config.Parse(map[string][]byte{"root.ini": []byte("[fleet]\nregion = r\n"), "teams/team.ini": []byte(caseTree)}, 1)
			qt.Assert(b, err, qt.IsNil)
			var sent, packets atomic.Int64
			network, err := Loopback(func(c net.PacketConn) net.PacketConn { return countingConn{c, &sent, &packets} })
			qt.Assert(b, err, qt.IsNil)
			memoryBefore := memoryInUse()
			f, err := Start(Options{Tree: tree, Nodes: nodes, Network: network})
			qt.Assert(b, err, qt.IsNil)
			time.Sleep(warmUp)
			bytesBefore, packetsBefore, cpuBefore, started := sent.Load(), packets.Load(), cpuTime(b), time.Now()
			time.Sleep(measureTime)
			nodeSeconds := time.Since(started).Seconds() * float64(nodes)
			b.ReportMetric(float64(sent.Load()-bytesBefore)/nodeSeconds, "bytes/s/node")
			b.ReportMetric(float64(packets.Load()-packetsBefore)/nodeSeconds, "packets/s/node")
			b.ReportMetric(100*(cpuTime(b)-cpuBefore).Seconds()/nodeSeconds, "core%/node")
			b.ReportMetric(float64(memoryInUse()-memoryBefore)/float64(nodes)/1024, "KiB/node")
			b.ReportMetric(0, "ns/op")
			f.Stop()
		})
	}
}

// generateTree returns the files of a settings tree with the given numbers of
// accounts and endpoints.
func generateTree(accounts, endpoints int) map[string][]byte {
	var b bytes.Buffer
	for rank, tier := range []string{"one", "two", "three", "four"} {
		fmt.Fprintf(&b, "[tier.%s]\nrank = %d\n", tier, rank)
	}
	for i := range 5 {
		fmt.Fprintf(&b, "[pool.p%d]\nkind = model_runner\nmodel = m%d\n", i, i)
	}
	for i := range accounts {
		fmt.Fprintf(&b, "[account.a%d]\nkey_sha256 = %064x\ntier = two\nweight = 3\nrequests_per_second = 100\n", i, i+1)
	}
	for i := range endpoints {
		fmt.Fprintf(&b, "[endpoint.e%d]\npool = p%d\navailability_zone = z%d\ngeneration = g%d\naddress = http://10.0.%d.%d:8000\n", i, i%5, i%7, i%3, i/250, i%250)
	}
	return map[string][]byte{"root.ini": []byte("[fleet]\nregion = r\n"), "teams/team.ini": b.Bytes()}
}

// retained keeps a parsed tree reachable while its memory is measured.
var retained []any

// BenchmarkSettingsTree measures parsing a settings tree and building the
// roster of endpoints from it, by numbers of accounts and endpoints.
func BenchmarkSettingsTree(b *testing.B) {
	for _, size := range [][2]int{{5, 20}, {50, 20}, {210, 20}, {5, 200}, {5, 1000}, {5, 2300}, {210, 2300}} {
		files := generateTree(size[0], size[1])
		name := fmt.Sprintf("accounts=%d/endpoints=%d", size[0], size[1])
		b.Run("parse/"+name, func(b *testing.B) {
			memoryBefore := memoryInUse()
			tree, err := config.Parse(files, 1)
			qt.Assert(b, err, qt.IsNil)
			retained = append(retained, tree)
			retainedBytes := float64(memoryInUse()) - float64(memoryBefore)
			retained = nil
			for b.Loop() {
				config.Parse(files, 1) //nolint:errcheck // checked above.
			}
			b.ReportMetric(float64(len(files["teams/team.ini"])), "text_bytes")
			b.ReportMetric(retainedBytes, "held_bytes")
		})
		b.Run("roster/"+name, func(b *testing.B) {
			tree, err := config.Parse(files, 1)
			qt.Assert(b, err, qt.IsNil)
			var instances []roster.Instance
			for _, e := range tree.Teams[0].Endpoints {
				instances = append(instances, roster.Instance{ID: string(e.ID), Endpoint: e.ID, Pool: e.Pool.ID, Address: e.Address, Region: "r"})
			}
			for b.Loop() {
				roster.Build(tree, instances, "r")
			}
		})
	}
}
