package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gorseledge/internal/configfeed/controlfile"
	"gorseledge/internal/configfeed/feedhttp"
)

const eventualTimeout = 30 * time.Second // longest wait for a condition to hold

// program is the path of the gorseledge-config program that the tests run.
var program string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "gorseledge-config")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(directory, "gorseledge-config")
	build := exec.Command("go", "build", "-race", "-o", program, ".")
	build.Stderr = os.Stderr
	// By default, a program with the race detector sleeps for 1 s before it exits.
	os.Setenv("GORACE", "atexit_sleep_ms=0")
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	os.RemoveAll(directory)
	os.Exit(code)
}

// output collects what a process writes.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// server is one control server of a test. It runs as a process.
type server struct {
	t       testing.TB
	name    string
	file    string // path of the control file
	config  controlfile.Config
	process *exec.Cmd
	log     *output
}

// newServers writes the control files of count servers, without starting them. The first one is the writer.
func newServers(t testing.TB, count int) []*server {
	t.Helper()
	directory := t.TempDir()
	var tables strings.Builder
	for i := range count {
		fmt.Fprintf(&tables, "\n[[server]]\nname = \"c%d\"\naddress = %q\nregion = \"r%d\"\n",
			i+1, freeAddress(t, i+1), i+1)
	}
	var servers []*server
	for i := range count {
		name := fmt.Sprint("c", i+1)
		s := &server{t: t, name: name, file: filepath.Join(directory, name+".toml")}
		head := fmt.Sprintf("fleet = \"lima\"\nname = %q\nkey = \"00112233445566778899aabbccddeeff\"\n"+
			"directory = %q\nwriter = \"c1\"\n", name, filepath.Join(directory, name))
		if err := os.WriteFile(s.file, []byte(head+tables.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		var err error
		if s.config, err = controlfile.Read(s.file); err != nil {
			t.Fatal(err)
		}
		servers = append(servers, s)
	}
	return servers
}

// freeAddress returns a loopback address at which no process listens. Each number selects a different IP address.
func freeAddress(t testing.TB, number int) string {
	t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.8.%d.%d:0", os.Getpid()%250, number))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// start starts the server's process and waits until it listens.
func (s *server) start() {
	s.t.Helper()
	s.log = &output{}
	s.process = exec.Command(program, "serve", s.file)
	s.process.Stderr = s.log
	if err := s.process.Start(); err != nil {
		s.t.Fatal(err)
	}
	process := s.process
	s.t.Cleanup(func() {
		process.Process.Kill()
		process.Wait()
	})
	s.waitForLog(`"message":"control server listening"`)
}

// waitForLog waits until the server's log contains a text.
func (s *server) waitForLog(text string) {
	s.t.Helper()
	eventually(s.t, s.name+" logs "+text, func() bool { return strings.Contains(s.log.String(), text) })
}

// end sends a signal to the process, waits for it to end and returns its exit code, which is -1 if it was killed.
func (s *server) end(signal syscall.Signal) int {
	s.t.Helper()
	s.process.Process.Signal(signal)
	s.process.Wait()
	return s.process.ProcessState.ExitCode()
}

// eventually waits until a condition holds, and fails the test after eventualTimeout. The description is that of the
// condition.
func eventually(t testing.TB, description string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventualTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition did not hold within %v: %s", eventualTimeout, description)
		}
	}
}

// result is the exit code of a command, with what it wrote to standard output and standard error.
type result struct {
	code        int
	out, errors string
}

// command runs the program with a server's control file.
func (s *server) command(arguments ...string) result {
	s.t.Helper()
	return run(s.t, append(arguments, "--control", s.file)...)
}

// run runs the program with arguments until it exits.
func run(t testing.TB, arguments ...string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventualTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, program, arguments...)
	var out, errs output
	c.Stdout, c.Stderr = &out, &errs
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return result{code: c.ProcessState.ExitCode(), out: out.String(), errors: errs.String()}
}

// isErrorLine reports whether a command ended with an exit code and one line on standard error that contains a text.
func (r result) isErrorLine(code int, text string) bool {
	isOneLine := strings.HasPrefix(r.errors, errorPrefix) && strings.Count(r.errors, "\n") == 1
	return r.code == code && isOneLine && strings.Contains(r.errors, text)
}

// document writes a live configuration to a file and returns its path.
func document(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "live.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// apply proposes a live configuration that sets the number of nodes, and ends the test unless it is accepted.
func (s *server) apply(expected string, nodes int) {
	s.t.Helper()
	r := s.command("apply", document(s.t, fmt.Sprintf("nodes = %d\n", nodes)), "--if-revision", expected)
	if r.code != 0 {
		s.t.Fatalf("%+v", r)
	}
}

// untilReady waits until the writer accepts proposals.
func (s *server) untilReady() {
	s.t.Helper()
	eventually(s.t, "the writer accepts proposals", func() bool {
		status := s.status()
		return status.Servers[0].Error == "" && status.Servers[0].NotReady == ""
	})
}

// status returns the status of all servers and nodes.
func (s *server) status() fleetStatus {
	s.t.Helper()
	var status fleetStatus
	r := s.command("status", "--json")
	if err := json.Unmarshal([]byte(r.out), &status); err != nil {
		s.t.Fatalf("%v: %+v", err, r)
	}
	return status
}

// client returns a client of the fleet, which is closed when the test ends.
func (s *server) client() *feedhttp.Client {
	c := feedhttp.NewClient(s.config.Fleet, s.config.Keys, nil)
	s.t.Cleanup(c.Close)
	return c
}

// address returns the server's address.
func (s *server) address() string {
	own, _ := s.config.Server(s.name)
	return own.Address
}
