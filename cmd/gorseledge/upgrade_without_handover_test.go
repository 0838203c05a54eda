package main

import (
	"os/exec"
	"syscall"
	"testing"
)

// startBesideWithoutHandover starts a node under a stream of clients and a second process of it, between which no handover
// is possible. It returns when the second process is ready.
func startBesideWithoutHandover(t *testing.T) (n *testNode, old *exec.Cmd, stream *clientStream) {
	t.Helper()
	n = startWithAdmin(t, "proxy", "", 400)
	for at := range n.hosts {
		n.serveAtHost(at)
	}
	stream = n.startStream()
	stream.waitForServed(t, 50)
	old = n.startSuccessor()
	n.waitUntilReady()
	return n, old, stream
}

// requireAllServed ends a stream of clients and fails the test unless all of them were served.
func requireAllServed(t *testing.T, stream *clientStream) {
	t.Helper()
	served, failures := stream.stop()
	if len(failures) > 0 {
		t.Errorf("%d served, %d not: %.3q", served, len(failures), failures)
	}
	t.Logf("%d served", served)
}

// The kernel gives both processes a share of the new clients until the old one closes its listener, and the old one rejects
// its share once it shuts down. No client may be rejected or lost while the successor is ready.
func TestUpgradeWithoutHandoverRejectsNoClient(t *testing.T) {
	n, old, stream := startBesideWithoutHandover(t)
	n.shutDown(old)
	stream.waitForServed(t, 50)
	requireAllServed(t, stream)
}

// An upgrade can be taken back: the successor is asked to shut down while the old process serves on. Clients that the kernel
// still gives to the successor would be rejected.
func TestUpgradeWithoutHandoverCanBeTakenBack(t *testing.T) {
	n, old, stream := startBesideWithoutHandover(t)
	successor := n.process
	n.process = old
	stream.waitForServed(t, 50)
	if err := successor.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	n.waitForLog("new clients directed back to the other process")
	later := n.startStream() // clients of the first stream may have reached the successor just before
	later.waitForServed(t, 50)
	if err := successor.Wait(); err != nil {
		t.Errorf("the successor exited with error %v", err)
	}
	later.waitForServed(t, 50)
	requireAllServed(t, later)
	stream.stop()
}

// A successor that has directed all clients to itself may die. The old process must get them from then on.
func TestUpgradeWithoutHandoverWhoseSuccessorDies(t *testing.T) {
	n, old, stream := startBesideWithoutHandover(t)
	stream.waitForServed(t, 50)
	stream.stop()
	n.killNode()
	n.process = old
	later := n.startStream()
	later.waitForServed(t, 200)
	requireAllServed(t, later)
}
