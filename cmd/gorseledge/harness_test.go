package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/rig/standin"
)

// waitTimeout is how long a test waits for what must come; nothing here waits for time to pass.
const waitTimeout = 20 * time.Second

// testNode is a running node with stand-ins for its hosts and for discovery. What goes wrong fails its test.
type testNode struct {
	*testing.T
	program      string // path of the program; empty for the one that is built for all tests
	address      string // for clients
	hosts        []net.Listener
	process      *exec.Cmd // the latest
	log          *lockedBuffer
	discovery    *standin.Discovery
	configPath   string
	config       map[string]any
	descriptors  int    // limit of the process
	adminAddress string // the second address; empty for none
	tempDir      string // TMPDIR; empty for none
	fleetFile    string // path; empty for none
}

// lockedBuffer holds what a node's processes log.
type lockedBuffer struct {
	sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.Lock()
	defer b.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.Lock()
	defer b.Unlock()
	return b.buffer.String()
}

// startNode starts the program with that many hosts and descriptors, and waits until it serves.
func startNode(t *testing.T, mode string, hosts, descriptors int) *testNode {
	t.Helper()
	n := &testNode{T: t}
	n.startWithHosts(mode, hosts, descriptors)
	return n
}

// startWithHosts starts hosts, discovery and the program, and waits until it serves.
func (n *testNode) startWithHosts(mode string, hosts, descriptors int) {
	t := n.T
	t.Helper()
	n.log = &lockedBuffer{}
	n.discovery = startDiscovery(t)
	n.descriptors = descriptors
	list := endpoint.List{Index: 1, Complete: true}
	for i := range hosts {
		n.hosts = append(n.hosts, listenLoopback(t))
		list.Hosts = append(list.Hosts, endpoint.Host{Name: fmt.Sprintf("s-%08x", 100+i), Address: n.hosts[i].Addr().String(),
			Zone: "a", Status: "SERVING", Weight: 1})
	}
	n.discovery.Publish(list)
	n.address = freeAddress(t)
	n.config = n.newConfig(mode)
	n.configPath = filepath.Join(t.TempDir(), "config.json")
	n.writeConfig()
	t.Cleanup(func() {
		if strings.Contains(n.log.text(), "DATA RACE") || t.Failed() {
			t.Errorf("log:\n%s", n.log.text())
		}
	})
	n.startProcess()
	n.waitUntilServing()
}

// newConfig gives the config of a node whose deployment's packets pass in this mode.
func (n *testNode) newConfig(mode string) map[string]any {
	config := map[string]any{
		"name": "n1", "listen": n.address, "discovery": n.discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": n.descriptors}, "known": nil,
		"settings": map[string]any{
			"family_info": map[string]any{"mode": mode}, "granularity_us": 4000, "siblings": 1, "zones": []string{"a"},
			"limits": map[string]any{"dial_timeout_us": 5000000, "max_connects": 3,
				"max_retry_after_us": 2000000, "retry_after": true},
			"service_types": []any{map[string]any{"name": "chat", "effect": "repeatable", "give_up_us": 900000}},
		}}
	if n.adminAddress != "" {
		config["admin_addr"] = n.adminAddress
	}
	if n.fleetFile != "" {
		config["fleet"] = n.fleetFile
	}
	return config
}

// waitUntilServing waits until the node answers a client that asks whether it is ready.
func (n *testNode) waitUntilServing() {
	n.Helper()
	for end := time.Now().Add(waitTimeout); !n.answersPing(); {
		if time.Now().After(end) {
			n.Fatal("the node is not ready")
		}
	}
}

// answersPing tells whether the node answers a client that asks whether it is ready.
func (n *testNode) answersPing() bool {
	conn, err := net.Dial("tcp", n.address)
	if err != nil {
		return false
	}
	defer conn.Close()
	client := n.newConn(conn)
	client.send("PING\r\n")
	return client.readLine() == "PONG"
}

// startProcess starts a process of the node.
func (n *testNode) startProcess() {
	n.Helper()
	command := fmt.Sprintf("ulimit -n %d; exec %s", n.descriptors, cmp.Or(n.program, program))
	process := exec.Command("/bin/sh", "-c", command)
	process.Env = append(os.Environ(), "LB_CONFIG="+n.configPath, "TMPDIR="+n.tempDir)
	process.Stderr = n.log
	if err := process.Start(); err != nil {
		n.Fatal(err)
	}
	n.Cleanup(func() {
		process.Process.Kill()
		process.Wait()
	})
	n.process = process
}

// writeConfig writes the config that the node reads.
func (n *testNode) writeConfig() {
	n.Helper()
	text, err := json.Marshal(n.config)
	if err == nil {
		err = os.WriteFile(n.configPath, text, 0o600)
	}
	if err != nil {
		n.Fatal(err)
	}
}

// signal sends the latest process a signal.
func (n *testNode) signal(signal syscall.Signal) {
	n.Helper()
	if err := n.process.Process.Signal(signal); err != nil {
		n.Fatal(err)
	}
}

// waitForLog waits until the log has a line with all of these.
func (n *testNode) waitForLog(parts ...string) {
	n.Helper()
	lacksPart := func(line string) bool {
		return slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) })
	}
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, line := range strings.Split(n.log.text(), "\n") {
			if !lacksPart(line) {
				return
			}
		}
	}
	n.Fatalf("no log line with %q", parts)
}

// startDiscovery starts a stand-in for discovery.
func startDiscovery(t *testing.T) *standin.Discovery {
	t.Helper()
	d := standin.StartDiscovery()
	t.Cleanup(d.Close)
	return d
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// firstFreePort and freePorts are a range of ports that the system assigns to nobody by itself.
const (
	firstFreePort = 15000
	freePorts     = 16000
)

// freeAddress gives an address at which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		address := fmt.Sprint("127.0.0.1:", firstFreePort+rand.IntN(freePorts))
		if ln, err := net.Listen("tcp", address); err == nil {
			ln.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// shortTempDir gives a TMPDIR with a short path, as a Unix socket needs it.
func shortTempDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "g")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}
