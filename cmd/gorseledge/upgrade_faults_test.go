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

// upgradeFault is a fault during an upgrade.
type upgradeFault struct {
	name   string
	inject func(t *testing.T, n *testNode)
}

// A fault during an upgrade could leave both processes waiting for each other, with neither accepting clients. After each
// of these faults one of the two must serve them.
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

// waitUntilFlowsAreServed waits until a host accepts a flow.
func (n *testNode) waitUntilFlowsAreServed() {
	n.Helper()
	for end := time.Now().Add(waitTimeout); ; {
		got := n.tryFlow()
		if got == "UP 1" {
			return
		}
		if time.Now().After(end) {
			n.Fatalf("after %v a flow is still answered %q, want UP 1", waitTimeout, got)
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

// shutDown sends a process SIGTERM and waits for its end. An exit with an error fails the test.
func (n *testNode) shutDown(process *exec.Cmd) {
	n.Helper()
	if err := process.Process.Signal(syscall.SIGTERM); err != nil {
		n.Fatal(err)
	}
	if err := process.Wait(); err != nil {
		n.Errorf("the process exited with error %v", err)
	}
}

// processFaults are faults in which a process dies, or another one starts during the upgrade.
var processFaults = []upgradeFault{
	{"successor never becomes ready and is killed", func(t *testing.T, n *testNode) {
		replacePredecessor(t, n, func(net.Conn) {}) // so that the successor does not inherit the endpoint list
		n.config["discovery"] = "127.0.0.1:1"
		old := n.startSuccessor()
		n.waitForLog("handover from the predecessor failed")
		if code, _ := n.callAdmin("GET", "/-/ready"); code == 200 {
			t.Error("the successor is ready without an endpoint list")
		}
		n.killNode()
		n.process = old
	}},
	{"successor is killed after it has taken over the clients", func(t *testing.T, n *testNode) {
		client, host := n.establish()
		client.send("M 1\r\n")
		host.expect("M 1")
		old := n.startSuccessor()
		n.waitUntilReady()
		n.killNode()
		n.process = old
		n.waitForLog("the successor is gone")
		n.startSuccessor() // the next successor can connect to the first process
		n.waitUntilReady()
		n.shutDown(old)
	}},
	{"predecessor is killed", func(t *testing.T, n *testNode) {
		old := n.startSuccessor()
		n.waitUntilReady()
		if err := old.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		old.Wait()
		n.waitForLog("the predecessor is gone")
	}},
	{"third process starts during the upgrade", func(t *testing.T, n *testNode) {
		first := n.startSuccessor()
		second := n.startSuccessor()
		n.waitUntilReady()
		n.shutDown(first)
		n.shutDown(second)
	}},
	{"both processes have the same admin address", func(t *testing.T, n *testNode) {
		old := n.process
		n.startProcess()
		n.waitForLog("a successor takes the clients")
		n.shutDown(old)
		n.waitUntilReady()
	}},
}

// predecessorFaults are faults of the predecessor, or on its Unix socket, that prevent a handover.
var predecessorFaults = []upgradeFault{
	{"predecessor sends half a message", func(t *testing.T, n *testNode) {
		replacePredecessor(t, n, func(c net.Conn) {
			io.WriteString(c, `{"version":1,"legacy":{"Ind`)
			c.Close()
		})
		n.upgradeWithoutHandover()
	}},
	{"predecessor sends nothing", func(t *testing.T, n *testNode) {
		replacePredecessor(t, n, func(net.Conn) {})
		n.upgradeWithoutHandover()
	}},
	{"predecessor uses another protocol version", func(t *testing.T, n *testNode) {
		replacePredecessor(t, n, func(c net.Conn) { io.WriteString(c, `{"version":9}`+"\n") })
		n.upgradeWithoutHandover()
	}},
	{"predecessor sends no listener", func(t *testing.T, n *testNode) {
		replacePredecessor(t, n, func(c net.Conn) { io.WriteString(c, `{"version":1,"legacy":{}}`+"\n") })
		n.upgradeWithoutHandover()
	}},
	{"plain file at the socket's path", func(t *testing.T, n *testNode) {
		path := handover.Path(n.tempDir, n.address)
		os.Remove(path)
		if err := os.WriteFile(path, []byte("x"), 0o600); err != nil {
			t.Fatal(err)
		}
		n.upgradeWithoutHandover()
	}},
	{"caller with another protocol version connects to the predecessor", func(t *testing.T, n *testNode) {
		caller, err := net.Dial("unix", handover.Path(n.tempDir, n.address))
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		io.WriteString(caller, `{"version":9,"ask":"claim"}`+"\n")
		caller.SetDeadline(time.Now().Add(waitTimeout))
		if bytes, err := io.Copy(io.Discard, caller); bytes > 0 || err != nil {
			t.Errorf("the caller received %d bytes, error %v; want none", bytes, err)
		}
		old := n.startSuccessor()
		n.waitUntilReady()
		n.shutDown(old)
	}},
}

// signalFaults are signals that arrive during an upgrade.
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

// replacePredecessor has a function answer each process that requests a handover, in place of the node's process.
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

// upgradeWithoutHandover starts a successor that gets no handover, waits until it serves, and ends the old process.
func (n *testNode) upgradeWithoutHandover() {
	n.Helper()
	old := n.startSuccessor()
	n.waitUntilReady()
	n.waitForLog("address in use by a process without handover")
	n.shutDown(old)
}
