package main

import (
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gorseledge/internal/handover"
)

// upgradeFault is something that goes wrong at an upgrade.
type upgradeFault struct {
	name   string
	inject func(t *testing.T, n *testNode)
}

// Whatever goes wrong at an upgrade, clients are served, by the successor or by the predecessor.
func TestFaultsDuringUpgrade(t *testing.T) {
	for _, faults := range [][]upgradeFault{processFaults, predecessorFaults, signalFaults} {
		for _, fault := range faults {
			t.Run(fault.name, func(t *testing.T) {
				n := startWithAdmin(t, "pass", shortTempDir(t), 400)
				fault.inject(t, n)
				for at := range n.hosts {
					n.serveAtHost(at)
				}
				n.waitUntilFlowsAreServed()
			})
		}
	}
}

// waitUntilFlowsAreServed waits until a host takes a flow.
func (n *testNode) waitUntilFlowsAreServed() {
	n.Helper()
	for end := time.Now().Add(waitTimeout); ; {
		got := n.tryFlow()
		if got == "UP 1" {
			return
		}
		if time.Now().After(end) {
			n.Fatalf("answered %q", got)
		}
	}
}

// killNode kills the node's current process.
func (n *testNode) killNode() {
	n.Helper()
	if err := n.process.Process.Kill(); err != nil {
		n.Fatal(err)
	}
	n.process.Wait()
}

// shutDown asks a process to shut down and waits until it has done so without an error.
func (n *testNode) shutDown(process *exec.Cmd) {
	n.Helper()
	if err := process.Process.Signal(syscall.SIGTERM); err != nil {
		n.Fatal(err)
	}
	if err := process.Wait(); err != nil {
		n.Errorf("the process ended with %v", err)
	}
}

// processFaults are processes that die, and others that come meanwhile.
var processFaults = []upgradeFault{
	{"the successor never gets ready and is killed", func(t *testing.T, n *testNode) {
		replacePredecessor(t, n, func(net.Conn) {}) // it hears nothing of the old one's list
		n.config["discovery"] = "127.0.0.1:1"
		old := n.startSuccessor()
		n.waitForLog("handover from the predecessor failed")
		if code, _ := n.callAdmin("GET", "/-/ready"); code == 200 {
			t.Error("ready without a list")
		}
		n.killNode()
		n.process = old
	}},
	{"the successor crashes once it has the clients", func(t *testing.T, n *testNode) {
		client, host := n.establish()
		client.send("M 1\r\n")
		host.expect("M 1")
		old := n.startSuccessor()
		n.waitUntilReady()
		n.killNode()
		n.process = old
		n.waitForLog("the successor is gone")
		n.startSuccessor() // and the next one is found
		n.waitUntilReady()
		n.shutDown(old)
	}},
	{"the predecessor is killed", func(t *testing.T, n *testNode) {
		old := n.startSuccessor()
		n.waitUntilReady()
		if err := old.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		old.Wait()
		n.waitForLog("the predecessor is gone")
	}},
	{"a third process meanwhile", func(t *testing.T, n *testNode) {
		first := n.startSuccessor()
		second := n.startSuccessor()
		n.waitUntilReady()
		n.shutDown(first)
		n.shutDown(second)
	}},
	{"the same second address", func(t *testing.T, n *testNode) {
		old := n.process
		n.startProcess()
		n.waitForLog("a successor takes the clients")
		n.shutDown(old)
		n.waitUntilReady()
	}},
}

// predecessorFaults are predecessors that do not hand over as they should.
var predecessorFaults = []upgradeFault{
	{"the predecessor says half a message", func(t *testing.T, n *testNode) {
		replacePredecessor(t, n, func(c net.Conn) {
			io.WriteString(c, `{"version":1,"legacy":{"Ind`)
			c.Close()
		})
		n.upgradeWithoutHandover()
	}},
	{"the predecessor says nothing", func(t *testing.T, n *testNode) {
		replacePredecessor(t, n, func(net.Conn) {})
		n.upgradeWithoutHandover()
	}},
	{"the predecessor is of another version", func(t *testing.T, n *testNode) {
		replacePredecessor(t, n, func(c net.Conn) { io.WriteString(c, `{"version":9}`+"\n") })
		n.upgradeWithoutHandover()
	}},
	{"the predecessor passes no listener", func(t *testing.T, n *testNode) {
		replacePredecessor(t, n, func(c net.Conn) { io.WriteString(c, `{"version":1,"legacy":{}}`+"\n") })
		n.upgradeWithoutHandover()
	}},
	{"a file in the socket's place", func(t *testing.T, n *testNode) {
		path := handover.Path(n.tempDir, n.address)
		os.Remove(path)
		if err := os.WriteFile(path, []byte("x"), 0o600); err != nil {
			t.Fatal(err)
		}
		n.upgradeWithoutHandover()
	}},
	{"a caller of another version at the predecessor", func(t *testing.T, n *testNode) {
		caller, err := net.Dial("unix", handover.Path(n.tempDir, n.address))
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		io.WriteString(caller, `{"version":9,"ask":"claim"}`+"\n")
		caller.SetDeadline(time.Now().Add(waitTimeout))
		if bytes, err := io.Copy(io.Discard, caller); bytes > 0 || err != nil {
			t.Errorf("answered %d bytes, %v", bytes, err)
		}
		old := n.startSuccessor()
		n.waitUntilReady()
		n.shutDown(old)
	}},
}

// signalFaults are signals that come in the middle of an upgrade.
var signalFaults = []upgradeFault{
	{"SIGTERM to the predecessor before it hands over", func(t *testing.T, n *testNode) {
		client, host := n.establish()
		n.signal(syscall.SIGTERM)
		n.waitForLog("graceful shutdown begins")
		n.startSuccessor()
		n.waitUntilReady()
		client.send("M 1\r\n")
		host.expect("M 1")
	}},
	{"SIGTERM to the successor", func(t *testing.T, n *testNode) {
		old := n.startSuccessor()
		n.waitUntilReady()
		n.shutDown(n.process)
		n.process = old
		n.waitForLog("the successor is gone")
	}},
	{"SIGHUP to both", func(t *testing.T, n *testNode) {
		old := n.startSuccessor()
		n.waitUntilReady()
		for _, process := range []*exec.Cmd{old, n.process} {
			if err := process.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		n.waitForLog("config reloaded")
		n.shutDown(old)
	}},
}

// replacePredecessor answers in place of the node's process whoever asks for a handover.
func replacePredecessor(t *testing.T, n *testNode, answer func(c net.Conn)) {
	t.Helper()
	listener, err := handover.Listen(handover.Path(n.tempDir, n.address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn)
		}
	}()
}

// upgradeWithoutHandover has a successor take over from a process that hands nothing over.
func (n *testNode) upgradeWithoutHandover() {
	n.Helper()
	old := n.startSuccessor()
	n.waitUntilReady()
	n.waitForLog("address in use by a process without handover")
	n.shutDown(old)
}
