package rig

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"gorseledge/internal/rig/standin"
)

// StandaloneNode is a process of a node without a fleet, with a discovery service of its own.
type StandaloneNode struct {
	Client    string // the address that clients connect to
	cmd       *exec.Cmd
	discovery *standin.Discovery
}

// StartStandaloneNode starts the built program with the hosts in its list of known hosts, so that none of them counts as new.
// The directory must exist; the node's config file is written to it. When the context ends, the process is killed.
func StartStandaloneNode(
	ctx context.Context, program, dir string, hosts *standin.Hosts, limits NodeLimits,
) (*StandaloneNode, error) {
	n := &node{}
	var err error
	if n.clientAddress, err = freeAddress(0); err != nil {
		return nil, err
	}
	s := &StandaloneNode{Client: n.clientAddress, discovery: standin.StartDiscovery()}
	s.discovery.Publish(hosts.EndpointList(1))
	c := config(n, s.discovery.Address(), "", 1, 1)
	known := hosts.EndpointList(1)
	c.Known, c.Limits = &known, limits
	text, err := json.Marshal(c)
	path := filepath.Join(dir, "config.json")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err == nil {
		s.cmd = exec.CommandContext(ctx, program)
		s.cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "TMPDIR="+dir)
		err = s.cmd.Start()
	}
	if err != nil {
		s.discovery.Close()
		return nil, err
	}
	return s, nil
}

// PID returns the process ID.
func (s *StandaloneNode) PID() int { return s.cmd.Process.Pid }

// Leave asks the node to shut down gracefully, waits until it has ended and returns the CPU time that it used, user and
// system, in microseconds.
func (s *StandaloneNode) Leave() (us float64, err error) {
	defer s.discovery.Close()
	s.cmd.Process.Signal(syscall.SIGTERM)
	if err := s.cmd.Wait(); err != nil {
		return 0, err
	}
	state := s.cmd.ProcessState
	return float64((state.UserTime() + state.SystemTime()).Microseconds()), nil
}

// Kill kills the node and waits until it has ended. It does nothing after Leave.
func (s *StandaloneNode) Kill() {
	if s.cmd.ProcessState != nil {
		return
	}
	s.cmd.Process.Kill()
	s.cmd.Wait() // the error only reports that the process was killed
	s.discovery.Close()
}
