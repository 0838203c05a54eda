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

// controlServers are three processes of the control program, the first of them the writer.
type controlServers struct {
	*testing.T
	program   string
	files     []string // their control files
	processes []*exec.Cmd
	tables    string // of the servers but the writer, for a node's fleet file
}

func startControlServers(t *testing.T) *controlServers {
	t.Helper()
	dir := t.TempDir()
	c := &controlServers{T: t, program: filepath.Join(dir, "gorseledge-config")}
	if out, err := exec.Command("go", "build", "-o", c.program, "../gorseledge-config").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var servers string
	regions := []string{"west", "west", "east"}
	for i, region := range regions {
		row := fmt.Sprintf("name = \"c%d\"\naddress = %q\nregion = %q\n", i+1, freeAddress(t), region)
		servers += "[[server]]\n" + row
		if i > 0 {
			c.tables += "[[control]]\n" + row
		}
	}
	for i := range regions {
		name := fmt.Sprint("c", i+1)
		file := filepath.Join(dir, name+".toml")
		text := fmt.Sprintf("fleet = %q\nname = %q\nkey = %q\ndirectory = %q\nwriter = \"c1\"\n%s", controlFleet, name, controlKey,
			filepath.Join(dir, name), servers)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.files = append(c.files, file)
		server := exec.Command(c.program, "serve", file)
		if err := server.Start(); err != nil {
			t.Fatal(err)
		}
		c.processes = append(c.processes, server)
		t.Cleanup(func() {
			server.Process.Kill()
			server.Wait()
		})
	}
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		out, err := c.run("status")
		if err == nil {
			return c
		}
		if time.Now().After(end) {
			t.Fatalf("%v: %s", err, out)
		}
	}
}

// run makes a command with the first server's control file, and gives what it says.
func (c *controlServers) run(args ...string) (string, error) {
	out, err := exec.CommandContext(c.Context(), c.program, append([]string{"--control", c.files[0]}, args...)...).CombinedOutput()
	return string(out), err
}

// apply puts a document in force over the newest revision and gives its version.
func (c *controlServers) apply(document string) configfeed.Version {
	c.Helper()
	file := filepath.Join(c.TempDir(), "live.toml")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		c.Fatal(err)
	}
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		newest := c.status().Newest
		out, err := c.run("apply", file, "--if-revision", fmt.Sprintf("%d.%d", newest.Epoch, newest.Revision), "--note", "test")
		if now := c.status().Newest; err == nil && now.Compare(newest) > 0 {
			return now
		}
		if time.Now().After(end) {
			c.Fatalf("%v: %s", err, out)
		}
	}
}

// serverStatus is what the test reads of the status command.
type serverStatus struct {
	Newest  configfeed.Version `json:"newest"`
	Nodes   int                `json:"nodes"`
	Current int                `json:"current"`
	text    string
}

func (c *controlServers) status() (s serverStatus) {
	c.Helper()
	s.text, _ = c.run("status", "--json") // fails where a server does not answer, and says what the others do
	line, _, _ := strings.Cut(s.text, "\n")
	json.Unmarshal([]byte(line), &s)
	return s
}

// A node follows processes of the control program: the status command shows it, and what it refuses and why; where the
// server that it follows dies, the next revision reaches it by another one.
func TestNodeFollowsGorsecontrol(t *testing.T) {
	c := startControlServers(t)
	s := &stage{T: t, admin: freeAddress(t)}
	s.fleet = filepath.Join(t.TempDir(), "fleet.toml")
	text := fmt.Sprintf("fleet = %q\naddress = %q\njoin = [%q]\nkey = %q\nregion = \"east\"\n%s", controlFleet, freeAddress(t),
		freeAddress(t), controlKey, c.tables)
	if err := os.WriteFile(s.fleet, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.begin("pass", 3, 400)
	for at := range s.hosts {
		s.respond(at, func(string) string { return fmt.Sprint("UP ", at) })
	}
	v := c.apply(without("s-00000064"))
	s.inForce(v)
	if told := s.told(40); told["UP 0"] != 0 || told["UP 1"]+told["UP 2"] != 40 {
		t.Errorf("with one host out clients were told %v", told)
	}
	c.shows("that the node has it", func(s serverStatus) bool { return s.Nodes == 1 && s.Current == 1 })

	c.apply("[limits]\nmax_connects = 64\n")
	c.shows("that the node refused it", func(s serverStatus) bool {
		return s.Current == 0 && strings.Contains(s.text, "limits.max_connects: 64 is over the start's 3")
	})
	v = c.apply(without("s-00000065"))
	lost := s.inForce(v).Server
	at := map[string]int{"c2": 1, "c3": 2}[lost]
	if at == 0 {
		t.Fatalf("it follows %q, which its fleet file does not name", lost)
	}
	c.processes[at].Process.Kill()
	c.processes[at].Wait()
	if page := s.inForce(c.apply(without("s-00000066"))); page.Server == lost {
		t.Errorf("it follows a server that is dead: %+v", page)
	}
	if told := s.told(40); told["UP 2"] != 0 || told["UP 0"]+told["UP 1"] != 40 {
		t.Errorf("with another host out clients were told %v", told)
	}
}

// shows waits until the status command shows something.
func (c *controlServers) shows(what string, check func(serverStatus) bool) {
	c.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		status := c.status()
		if check(status) {
			return
		}
		if time.Now().After(end) {
			c.Fatalf("wanted %s, status shows %s", what, status.text)
		}
	}
}
