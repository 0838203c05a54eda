package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
)

const (
	nodesPerServer  = 172 // nodes that follow one of five servers
	measuredSeconds = 20  // duration of a measurement
	ticksPerSecond  = 100 // unit of the processor times in /proc
)

// usage is the processor time that a process has used since its start, and its memory.
type usage struct {
	processor float64 // user and system time in seconds
	resident  int     // current resident memory in kB
	peak      int     // peak resident memory in kB
}

// usageOf reads the usage of a process.
func usageOf(b *testing.B, pid int) usage {
	b.Helper()
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	u.processor = (user + system) / ticksPerSecond
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	kilobytes := func(name string) int {
		_, rest, _ := strings.Cut(string(status), name)
		value, _ := strconv.Atoi(strings.Fields(rest)[0])
		return value
	}
	u.resident, u.peak = kilobytes("VmRSS:"), kilobytes("VmHWM:")
	return u
}

// BenchmarkServerWithItsShareOfNodes measures one server without the race detector, as operators build it. 172 nodes poll
// it every 2 s, without changes and with one change per second.
func BenchmarkServerWithItsShareOfNodes(b *testing.B) {
	programPath := buildWithoutRaceDetector(b)
	for _, changes := range []int{0, measuredSeconds} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			for range b.N {
				measureServer(b, programPath, changes)
			}
		})
	}
}

// buildWithoutRaceDetector builds the program without the race detector, as operators build it, and returns its path.
func buildWithoutRaceDetector(b *testing.B) string {
	b.Helper()
	path := filepath.Join(b.TempDir(), "gorseledge-config")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	return path
}

// startServer starts a server from the build of the program at a path.
func startServer(b *testing.B, programPath string) *server {
	b.Helper()
	raceBuild := program
	program = programPath
	defer func() { program = raceBuild }()
	s := newServers(b, 1)[0]
	s.start()
	s.untilReady()
	return s
}

// followAll starts nodesPerServer followers of a server. The function stop ends them and waits for their goroutines.
func followAll(b *testing.B, s *server) (nodes []*feedhttp.Follower, stop func()) {
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	for i := range nodesPerServer {
		config := configfeed.FollowerConfig{Name: fmt.Sprint("n", i), Region: "r1", Seed: uint64(i), Wait: 2,
			Servers: []configfeed.ServerAddress{{Name: "c1", Address: s.address(), Region: "r1"}}}
		node := feedhttp.NewFollower(feedhttp.FollowerOptions{Fleet: s.config.Fleet, Keys: s.config.Keys, Config: config,
			Log: zerolog.Nop(), Install: func(configfeed.State, []string) error { return nil }})
		nodes = append(nodes, node)
		running.Go(func() { node.Run(ctx) })
	}
	return nodes, func() {
		cancel()
		running.Wait()
	}
}

// measureServer reports the cost of one server and its nodes during measuredSeconds, with one change per second until
// the number of changes is reached.
func measureServer(b *testing.B, programPath string, changes int) {
	s := startServer(b, programPath)
	nodes, stop := followAll(b, s)
	defer stop()
	eventually(b, "all nodes poll", func() bool { return s.status().Nodes == nodesPerServer })
	before, traffic, began := usageOf(b, s.process.Process.Pid), trafficOf(nodes), time.Now()
	client := s.client()
	for i := range changes {
		expected := configfeed.Version{Epoch: uint64(min(i, 1)), Revision: uint64(i)}
		if _, err := client.Apply(b.Context(), s.address(), configfeed.Proposal{ID: feedhttp.NewProposalID(), IfVersion: expected,
			Entries: []configfeed.Entry{{Key: "nodes", Value: strconv.Itoa(i + 1)}}, Author: "test"}); err != nil {
			b.Fatal(err)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(time.Until(began.Add(measuredSeconds * time.Second)))
	seconds := time.Since(began).Seconds()
	after, moved := usageOf(b, s.process.Process.Pid), trafficOf(nodes)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(runtime.NumGoroutine())/nodesPerServer, "goroutines/node")
	b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/1024/nodesPerServer, "kB/node")
	b.ReportMetric((after.processor-before.processor)/seconds*100, "%core")
	b.ReportMetric(float64(after.resident)/1024, "MB")
	b.ReportMetric(float64(moved.Requests-traffic.Requests)/seconds, "polls/s")
	bytes := moved.BytesSent + moved.BytesReceived - traffic.BytesSent - traffic.BytesReceived
	b.ReportMetric(float64(bytes)/seconds/nodesPerServer, "B/s/node")
}

// BenchmarkStartOfAllNodesWithALargeState measures one server while 172 nodes without a state start at once, and each of
// them fetches a state of close to 1 MB.
func BenchmarkStartOfAllNodesWithALargeState(b *testing.B) {
	programPath := buildWithoutRaceDetector(b)
	for range b.N {
		s := startServer(b, programPath)
		last := fillState(b, s)
		before, began := usageOf(b, s.process.Process.Pid), time.Now()
		nodes, stop := followAll(b, s)
		eventually(b, "all nodes have the state", func() bool {
			return !slices.ContainsFunc(nodes, func(n *feedhttp.Follower) bool { return n.View().Version != last })
		})
		seconds := time.Since(began).Seconds()
		after := usageOf(b, s.process.Process.Pid)
		stop()
		b.ReportMetric(seconds, "s")
		b.ReportMetric(after.processor-before.processor, "core-s")
		b.ReportMetric(float64(after.peak)/1024, "MB")
		b.ReportMetric(float64(trafficOf(nodes).BytesReceived)/nodesPerServer, "B/node")
	}
}

// fillState applies changes until the size of the state is close to configfeed.MaxStateBytes, and returns its version.
func fillState(b *testing.B, s *server) (last configfeed.Version) {
	b.Helper()
	const entriesEach, changes = 1200, 16
	var entries []configfeed.Entry
	client := s.client()
	for i := range changes {
		for j := range entriesEach {
			key := fmt.Sprintf("hosts.s-%08x.disabled_until_s", i*entriesEach+j)
			entries = append(entries, configfeed.Entry{Key: key, Value: "1764650000"})
		}
		p := configfeed.Proposal{ID: feedhttp.NewProposalID(), IfVersion: last, Entries: entries, Author: "test"}
		outcome, err := client.Apply(b.Context(), s.address(), p)
		if err != nil || outcome.Kind != configfeed.Accepted {
			b.Fatalf("change %d: %+v, %v", i, outcome, err)
		}
		last = outcome.Version
	}
	return last
}

// trafficOf returns the sum of the nodes' traffic.
func trafficOf(nodes []*feedhttp.Follower) feedhttp.Traffic {
	var sum feedhttp.Traffic
	for _, node := range nodes {
		t := node.Traffic()
		sum.Requests += t.Requests
		sum.BytesSent += t.BytesSent
		sum.BytesReceived += t.BytesReceived
	}
	return sum
}
