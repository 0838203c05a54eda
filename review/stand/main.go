// Command stand runs one case of the review: it starts the stand-ins and the project's node, makes the disruption, and
// checks the rule from what clients, servers and the platform have seen.
//
// Its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2

	longestRun = 115 * time.Second
)

// setup is what every case starts with.
type setup struct {
	record    *record
	node      *node
	discovery *discovery
	runs      *runs
	trouble   bool // false: the case runs without its disruption
}

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(*setup) (int, error){}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE CHECKOUT RECORD")
		return failed
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return failed
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	s, err := newSetup(r, os.Args[2])
	if err != nil {
		r.say("the case could not run: %v", err)
		return failed
	}
	defer os.RemoveAll(s.node.dir)
	defer s.discovery.close()
	defer s.node.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		breaks int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		breaks, err := run(s)
		done <- result{breaks, err}
	}()
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			r.say("the case could not run: %v", got.err)
			return failed
		case got.breaks > 0:
			r.say("the rule was broken %d times", got.breaks)
			return broken
		}
		r.say("the rule held")
		return held
	case <-time.After(longestRun):
		r.say("the case could not run: it took over %v", longestRun)
	case <-stop:
		r.say("the case could not run: it was stopped")
	}
	return failed
}

func newSetup(r *record, root string) (*setup, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "bin", "gorseledge")); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	tempDir := filepath.Join(dir, "tmp")
	if err := os.Mkdir(tempDir, 0o700); err != nil {
		return nil, err
	}
	runLine, err := deployRun(root)
	if err != nil {
		return nil, err
	}
	d, err := newDiscovery(r)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := &setup{record: r, discovery: d, runs: &runs{}, trouble: os.Getenv("TROUBLE") != "0"}
	s.node = &node{record: r, name: "n1", root: root, runLine: runLine, dir: dir, tempDir: tempDir, listen: listen, discovery: d.address()}
	r.say("%s, trouble: %v", strings.Join(os.Args[1:2], " "), s.trouble)
	return s, nil
}

// addHost starts a host and returns its entry in the list.
func (s *setup) addHost(name string) (entry, error) {
	h, err := startHost(name, "127.0.0.1:0", s.record, s.runs)
	if err != nil {
		return entry{}, err
	}
	return entry{Name: name, Address: h.address(), Zone: "a", Type: "m2", Group: 1, Status: "SERVING", Weight: 1}, nil
}

// addHosts starts hosts and lists them.
func (s *setup) addHosts(count int) error {
	var entries []entry
	for i := range count {
		e, err := s.addHost(fmt.Sprintf("s-%08x", 0x10+i))
		if err != nil {
			return err
		}
		entries = append(entries, e)
	}
	s.discovery.change(entries...)
	return nil
}
