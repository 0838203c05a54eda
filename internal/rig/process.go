package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// shutdownTimeout is the time after which a process that was asked to shut down is killed, as the deployment platform does.
const shutdownTimeout = 5 * time.Second

// The messages of a node's log that the rig reads. Nodes of earlier versions log the same messages.
const (
	logMemberChanged = "member"            // a member changed its state
	logJoinedFleet   = "member of a fleet" // the node has joined its fleet
)

// maxLogLineBytes is the length of a log line beyond which the rig stops reading the log.
const maxLogLineBytes = 1 << 20

// process is a process of a node or a control server.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed after the process has ended and its log is complete
	ready  chan struct{} // closed when the process has logged that it is a member of its fleet
	once   sync.Once     // closes ready
}

// logLine holds the fields of a line of a node's log that the rig reads.
type logLine struct {
	Message string `json:"message"`
	Member  string `json:"member"`
	State   string `json:"state"`
}

// node is a node of the rig: its addresses, its directory and its process, or the two processes of an upgrade.
type node struct {
	rig           *Rig
	index         int
	label         string // its name; if empty, the name is made of its index
	dir           string
	clientAddress string // address that clients connect to
	adminAddress  string // admin address
	fleetAddress  string // address for members' messages

	mu          sync.Mutex // protects the fields below
	current     *process   // the process that serves
	predecessor *process   // hands over to current during an upgrade
	stopped     bool       // whether the processes are stopped by SIGSTOP
}

func (n *node) name() string {
	if n.label != "" {
		return n.label
	}
	return fmt.Sprintf("n%d", n.index)
}

// processObserver has the functions that are called for the events of a process, one at a time.
type processObserver struct {
	started func(pid int)
	logged  func(*process, logLine) // for each line of the log that is a JSON object
	exited  func(note string)       // with the exit error, or "0" for success
}

// launch starts a process and appends its standard error to a log file. A goroutine reads the standard error and waits for
// the end of the process; it closes exited last.
func (r *Rig) launch(command *exec.Cmd, logPath string, observer processObserver) (*process, error) {
	p := &process{cmd: command, exited: make(chan struct{}), ready: make(chan struct{})}
	pipe, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, err
	}
	observer.started(p.cmd.Process.Pid)
	go func() {
		in := bufio.NewScanner(pipe)
		in.Buffer(nil, maxLogLineBytes)
		for in.Scan() {
			fmt.Fprintf(log, "%.3f %s\n", r.history.now(), in.Bytes())
			var l logLine
			if json.Unmarshal(in.Bytes(), &l) == nil {
				observer.logged(p, l)
			}
		}
		log.Close()
		err := p.cmd.Wait()
		note := "0"
		if err != nil {
			note = err.Error()
		}
		observer.exited(note)
		close(p.exited)
	}()
	return p, nil
}

// launch starts a process of the node. It records its start, its end and the changes of members that it logs.
func (n *node) launch() (*process, error) {
	command := exec.Command(n.rig.Program)
	command.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(n.dir, "config.json"), "TMPDIR="+n.dir)
	return n.rig.launch(command, filepath.Join(n.dir, "log"), processObserver{started: func(pid int) {
		n.rig.history.add(Event{Kind: eventProcessStart, Node: n.index, Note: fmt.Sprint(pid)})
	}, logged: func(p *process, l logLine) {
		switch l.Message {
		case logMemberChanged:
			n.rig.history.add(Event{Kind: eventMember, Node: n.index, Member: l.Member, State: l.State})
		case logJoinedFleet:
			p.once.Do(func() { close(p.ready) })
		}
	}, exited: func(note string) {
		n.rig.history.add(Event{Kind: eventProcessExit, Node: n.index, Note: note})
	}})
}

// start starts the node unless it is running.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current != nil {
		return nil
	}
	p, err := n.launch()
	n.current = p
	return err
}

// copyDir copies the node's directory to one beside it, without the log and the handover sockets.
func (n *node) copyDir() error { return copyFiles(n.dir, n.dir+".old") }

// restoreDir replaces the node's directory by the copy of copyDir.
func (n *node) restoreDir() error {
	if err := os.RemoveAll(n.dir); err != nil {
		return err
	}
	return copyFiles(n.dir+".old", n.dir)
}

// copyFiles copies a directory's regular files, except the log.
func copyFiles(from, to string) error {
	if err := os.MkdirAll(to, 0o755); err != nil {
		return err
	}
	return filepath.WalkDir(from, func(path string, e os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		switch {
		case err != nil:
			return err
		case e.IsDir():
			return os.MkdirAll(filepath.Join(to, rel), 0o755)
		case !e.Type().IsRegular() || rel == "log":
			return nil
		}
		text, err := os.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) { // the node has removed it since the directory was read
			return nil
		}
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), text, 0o600)
	})
}

// up reports whether the node is running and not stopped.
func (n *node) up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current != nil && !n.stopped
}

// processes returns the node's running processes.
func (n *node) processes() (out []*process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []*process{n.current, n.predecessor} {
		if p != nil {
			out = append(out, p)
		}
	}
	return out
}

// kill kills the node's processes and waits until they have ended.
func (n *node) kill() {
	for _, p := range n.processes() {
		p.cmd.Process.Kill()
		<-p.exited
	}
	n.mu.Lock()
	n.current, n.predecessor, n.stopped = nil, nil, false
	n.mu.Unlock()
}

// shutDown asks a process to shut down gracefully and waits until it has ended; it is killed after shutdownTimeout.
func (p *process) shutDown() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(shutdownTimeout):
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// leave asks the node's processes to shut down gracefully and waits until they have ended.
func (n *node) leave() {
	for _, p := range n.processes() {
		p.shutDown()
	}
	n.mu.Lock()
	n.current, n.predecessor = nil, nil
	n.mu.Unlock()
}

// setStopped stops the node's processes, or continues them if stopped is false.
func (n *node) setStopped(stopped bool) {
	sig := syscall.SIGCONT
	if stopped {
		sig = syscall.SIGSTOP
	}
	for _, p := range n.processes() {
		p.cmd.Process.Signal(sig)
	}
	n.mu.Lock()
	n.stopped = stopped
	n.mu.Unlock()
}

// upgrade starts a second process, to which the serving one hands over. The predecessor is asked to shut down when the new
// process is a member or has ended, but no later than after shutdownTimeout.
func (n *node) upgrade() error {
	n.mu.Lock()
	predecessor := n.current
	n.mu.Unlock()
	if predecessor == nil {
		return nil
	}
	p, err := n.launch()
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.current, n.predecessor = p, predecessor
	n.mu.Unlock()
	select {
	case <-p.ready:
	case <-p.exited:
	case <-time.After(shutdownTimeout):
	}
	predecessor.shutDown()
	n.mu.Lock()
	if n.predecessor == predecessor {
		n.predecessor = nil
	}
	n.mu.Unlock()
	return nil
}
