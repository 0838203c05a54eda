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

const leaveWithin = 5 * time.Second // for a process that was asked to leave, as the platform gives it

// process is one process of the program.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	ready  chan struct{} // it has said that it is a member
	once   sync.Once
}

// logLine is what the rig reads of a node's log.
type logLine struct {
	Message string `json:"message"`
	Member  string `json:"member"`
	State   string `json:"state"`
}

// node is one node of the rig: its addresses, its directory and the process, or the two of an upgrade.
type node struct {
	rig     *Rig
	i       int
	dir     string
	client  string // addresses
	admin   string
	fleet   string
	mu      sync.Mutex
	now     *process // the one that serves
	elder   *process
	stopped bool
}

func (n *node) name() string { return fmt.Sprintf("n%d", n.i) }

// launch starts a process of the node.
func (n *node) launch() (*process, error) {
	p := &process{exited: make(chan struct{}), ready: make(chan struct{})}
	p.cmd = exec.Command(n.rig.Program)
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(n.dir, "config.json"), "TMPDIR="+n.dir)
	pipe, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, err
	}
	n.rig.history.add(Event{What: "start", Node: n.i, Note: fmt.Sprint(p.cmd.Process.Pid)})
	go func() {
		in := bufio.NewScanner(pipe)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			fmt.Fprintf(log, "%.3f %s\n", n.rig.history.now(), in.Bytes())
			var l logLine
			if json.Unmarshal(in.Bytes(), &l) != nil {
				continue
			}
			switch l.Message {
			case "member":
				n.rig.history.add(Event{What: "member", Node: n.i, Member: l.Member, State: l.State})
			case "member of a fleet":
				p.once.Do(func() { close(p.ready) })
			}
		}
		log.Close()
		err := p.cmd.Wait()
		note := "0"
		if err != nil {
			note = err.Error()
		}
		n.rig.history.add(Event{What: "exit", Node: n.i, Note: note})
		close(p.exited)
	}()
	return p, nil
}

// start starts the node where it does not run.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.now != nil {
		return nil
	}
	p, err := n.launch()
	n.now = p
	return err
}

// copyDir keeps a copy of the node's directory beside it; the log, and sockets of a hand-over, are not the
// node's to keep.
func (n *node) copyDir() error { return copyFiles(n.dir, n.dir+".old") }

// putBack gives the node the directory as it was copied.
func (n *node) putBack() error {
	if err := os.RemoveAll(n.dir); err != nil {
		return err
	}
	return copyFiles(n.dir+".old", n.dir)
}

// copyFiles copies a directory's regular files, without the log.
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
		if errors.Is(err, os.ErrNotExist) { // the node's own to take away
			return nil
		}
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), text, 0o600)
	})
}

// up tells whether a process of the node runs and is not stopped.
func (n *node) up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.now != nil && !n.stopped
}

// processes gives those that there are.
func (n *node) processes() (out []*process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []*process{n.now, n.elder} {
		if p != nil {
			out = append(out, p)
		}
	}
	return out
}

// kill ends the node's processes at once and waits for it.
func (n *node) kill() {
	for _, p := range n.processes() {
		p.cmd.Process.Kill()
		<-p.exited
	}
	n.mu.Lock()
	n.now, n.elder, n.stopped = nil, nil, false
	n.mu.Unlock()
}

// leave asks a process to leave and waits for it, killing it after a while as the platform does.
func (p *process) leave() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(leaveWithin):
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// leave asks the node to leave and waits for it.
func (n *node) leave() {
	for _, p := range n.processes() {
		p.leave()
	}
	n.mu.Lock()
	n.now, n.elder = nil, nil
	n.mu.Unlock()
}

// stop holds the node's processes up, or has them go on.
func (n *node) stop(held bool) {
	sig := syscall.SIGCONT
	if held {
		sig = syscall.SIGSTOP
	}
	for _, p := range n.processes() {
		p.cmd.Process.Signal(sig)
	}
	n.mu.Lock()
	n.stopped = held
	n.mu.Unlock()
}

// upgrade starts a process beside the one that serves, which is asked to leave once it has handed over.
func (n *node) upgrade() error {
	n.mu.Lock()
	elder := n.now
	n.mu.Unlock()
	if elder == nil {
		return nil
	}
	p, err := n.launch()
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.now, n.elder = p, elder
	n.mu.Unlock()
	select {
	case <-p.ready:
	case <-p.exited:
	case <-time.After(leaveWithin):
	}
	elder.leave()
	n.mu.Lock()
	if n.elder == elder {
		n.elder = nil
	}
	n.mu.Unlock()
	return nil
}
