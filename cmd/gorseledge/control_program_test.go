package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gorseledge/internal/configfeed"
)

// statusPause is the time between two runs of the status command.
const statusPause = 10 * time.Millisecond

// controlServers are three processes of the control program; the first one is the writer.
type controlServers struct {
	*testing.T
	program   string
	files     []string // paths of the servers' control files
	processes []*exec.Cmd
	fleetRows string // tables for a node's fleet file that name all servers except the writer
}

// startControlServers builds the control program, starts three servers and waits until they answer.
func startControlServers(t *testing.T) *controlServers {
	t.Helper()
	dir := t.TempDir()
	c := &controlServers{T: t, program: filepath.Join(dir, "gorseledge-config")}
	if out, err := exec.Command("go", "build", "-o", c.program, "../gorseledge-config").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var serverRows string
	regions := []string{"west", "west", "east"}
	for i, region := range regions {
		row := fmt.Sprintf("name = \"c%d\"\naddress = %q\nregion = %q\n", i+1, freeAddress(t), region)
		serverRows += "[[server]]\n" + row
		if i > 0 {
			c.fleetRows += "[[control]]\n" + row
		}
	}
	for i := range regions {
		c.startServer(dir, fmt.Sprint("c", i+1), serverRows)
	}
	for end := time.Now().Add(waitTimeout); ; time.Sleep(statusPause) {
		out, err := c.run("status")
		if err == nil {
			return c
		}
		if time.Now().After(end) {
			t.Fatalf("%v: %s", err, out)
		}
	}
}

// startServer writes a server's control file and starts its process.
func (c *controlServers) startServer(dir, name, serverRows string) {
	c.Helper()
	file := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf("fleet = %q\nname = %q\nkey = %q\ndirectory = %q\nwriter = \"c1\"\n%s", controlFleet, name, controlKey,
		filepath.Join(dir, name), serverRows)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.Fatal(err)
	}
	c.files = append(c.files, file)
	server := exec.Command(c.program, "serve", file)
	if err := server.Start(); err != nil {
		c.Fatal(err)
	}
	c.processes = append(c.processes, server)
	c.Cleanup(func() {
		server.Process.Kill()
		server.Wait()
	})
}

// run runs a command of the control program with the first server's control file, and returns its output.
func (c *controlServers) run(args ...string) (string, error) {
	args = append([]string{"--control", c.files[0]}, args...)
	out, err := exec.CommandContext(c.Context(), c.program, args...).CombinedOutput()
	return string(out), err
}

// apply makes a document the newest revision and returns its version. It retries until a revision is accepted.
func (c *controlServers) apply(document string) configfeed.Version {
	c.Helper()
	file := filepath.Join(c.TempDir(), "live.toml")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		c.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); ; time.Sleep(statusPause) {
		newest := c.status().Newest
		out, err := c.run("apply", file, "--if-revision", fmt.Sprintf("%d.%d", newest.Epoch, newest.Revision), "--note", "test")
		applied := c.status().Newest
		if err == nil && applied.Compare(newest) > 0 {
			return applied
		}
		if time.Now().After(end) {
			c.Fatalf("%v: %s", err, out)
		}
	}
}

// serverStatus is the part of the status command's output that the test needs, with the complete text.
type serverStatus struct {
	Newest  configfeed.Version `json:"newest"`
	Nodes   int                `json:"nodes"`
	Current int                `json:"current"`
	text    string
}

// status runs the status command. The command fails if a server does not answer, but still prints the status of the
// others, so its error is ignored.
func (c *controlServers) status() serverStatus {
	c.Helper()
	var s serverStatus
	s.text, _ = c.run("status", "--json")
	line, _, _ := strings.Cut(s.text, "\n")
	json.Unmarshal([]byte(line), &s)
	return s
}

// waitForStatus waits until the status passes a check; what describes the expected status in the failure message.
func (c *controlServers) waitForStatus(what string, check func(serverStatus) bool) {
	c.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(statusPause) {
		status := c.status()
		if check(status) {
			return
		}
		if time.Now().After(end) {
			c.Fatalf("want %s, got status %s", what, status.text)
		}
	}
}

// A node that kept to a dead control server would miss all further revisions, and operators would not notice unless the
// status command showed what each node has in force. With three processes of the control program, the status shows the
// revisions that the node applied and refused; when the node's server dies, the next revision reaches it from another.
func TestNodeFollowsControlServers(t *testing.T) {
	c := startControlServers(t)
	n := &testNode{T: t, adminAddress: freeAddress(t)}
	n.fleetFile = filepath.Join(t.TempDir(), "fleet.toml")
	text := fmt.Sprintf("fleet = %q\naddress = %q\njoin = [%q]\nkey = %q\nregion = \"east\"\n%s", controlFleet, freeAddress(t),
		freeAddress(t), controlKey, c.fleetRows)
	if err := os.WriteFile(n.fleetFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n.startWithHosts("pass", 3, 400)
	for at := range n.hosts {
		n.respondAtHost(at, func(string) string { return fmt.Sprint("UP ", at) })
	}
	v := c.apply(disablingDocument("s-00000064"))
	n.waitForRevision(v)
	if answers := n.countAnswers(40); answers["UP 0"] != 0 || answers["UP 1"]+answers["UP 2"] != 40 {
		t.Errorf("with host 0 disabled, clients were answered %v", answers)
	}
	c.waitForStatus("one node with the revision in force", func(s serverStatus) bool { return s.Nodes == 1 && s.Current == 1 })

	c.apply("[limits]\nmax_connects = 64\n")
	c.waitForStatus("a node that refused the revision", func(s serverStatus) bool {
		return s.Current == 0 && strings.Contains(s.text, "limits.max_connects: must be at most 3, the value at the start, got 64")
	})
	v = c.apply(disablingDocument("s-00000065"))
	followed := n.waitForRevision(v).Server
	index := map[string]int{"c2": 1, "c3": 2}[followed]
	if index == 0 {
		t.Fatalf("the node follows %q, which its fleet file does not name", followed)
	}
	if err := c.processes[index].Process.Kill(); err != nil {
		t.Fatal(err)
	}
	c.processes[index].Wait()
	if page := n.waitForRevision(c.apply(disablingDocument("s-00000066"))); page.Server == followed {
		t.Errorf("the node still follows the server that was killed: %+v", page)
	}
	if answers := n.countAnswers(40); answers["UP 2"] != 0 || answers["UP 0"]+answers["UP 1"] != 40 {
		t.Errorf("with host 2 disabled, clients were answered %v", answers)
	}
}
