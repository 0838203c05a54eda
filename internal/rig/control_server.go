package rig

import (
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pelletier/go-toml/v2"

	"gorseledge/internal/configfeed/controlfile"
	"gorseledge/internal/fleet"
)

// firstServerAddress is the index of the loopback address of the first control server. It is above all indices of nodes.
const firstServerAddress = 1000

// controlServer is a control server of the rig: its address, its directory and its process.
type controlServer struct {
	control *control
	index   int
	dir     string
	address string

	mu      sync.Mutex // protects the fields below
	current *process
	ending  bool // the rig is ending the process, so that its exit is expected
}

func (s *controlServer) name() string   { return fmt.Sprintf("c%d", s.index) }
func (s *controlServer) region() string { return serverRegions[s.index] }

// dataDir returns the server's data directory. The fault wipe empties it, and the fault rollback replaces it.
func (s *controlServer) dataDir() string { return filepath.Join(s.dir, "data") }

// startControl opens the relays between the control servers and from the nodes to them, and then starts the control servers. It
// returns the control also with an error, so that the caller can close what was opened.
func startControl(r *Rig) (*control, error) {
	c := newControl(r)
	for i := range r.script.ControlServers {
		address, err := freeAddress(firstServerAddress + i)
		if err != nil {
			return c, err
		}
		c.servers = append(c.servers, &controlServer{control: c, index: i, dir: filepath.Join(r.Dir, fmt.Sprintf("c%d", i)),
			address: address})
	}
	for k, to := range c.servers {
		for i := range c.servers {
			if i != k {
				if err := c.addRelay(controlLink{server: true, from: i, to: k}, to.address); err != nil {
					return c, err
				}
			}
		}
		for i := range r.nodes {
			if err := c.addRelay(controlLink{from: i, to: k}, to.address); err != nil {
				return c, err
			}
		}
	}
	for _, s := range c.servers {
		if err := s.prepare(); err != nil {
			return c, fmt.Errorf("preparing control server %s: %w", s.name(), err)
		}
		if err := s.start(); err != nil {
			return c, fmt.Errorf("starting control server %s: %w", s.name(), err)
		}
	}
	return c, nil
}

// prepare creates the server's directory. It removes an existing one, which an earlier run may have left.
func (s *controlServer) prepare() error {
	if err := os.RemoveAll(s.dir); err != nil {
		return err
	}
	return s.writeFile()
}

// addToFleetFile adds the control servers and the relays to them to a node's fleet file.
func (c *control) addToFleetFile(file *fleet.Config, node int) {
	file.Region = regions[node%len(regions)]
	for k, s := range c.servers {
		file.Control = append(file.Control, fleet.ControlServer{Name: s.name(), Address: s.address, Region: s.region()})
		file.Via[s.address] = c.relays[controlLink{from: node, to: k}].Address()
	}
}

// writeFile writes the server's control file.
func (s *controlServer) writeFile() error {
	if err := os.MkdirAll(s.dataDir(), 0o755); err != nil {
		return err
	}
	file := controlfile.Config{Fleet: s.control.rig.fleetName(), Name: s.name(), Key: hex.EncodeToString([]byte(fleetKey)),
		Directory: s.dataDir(), Writer: s.control.servers[0].name(), Via: map[string]string{}}
	for k, other := range s.control.servers {
		file.Servers = append(file.Servers,
			controlfile.Server{Name: other.name(), Address: other.address, Region: other.region()})
		if k != s.index {
			file.Via[other.address] = s.control.relays[controlLink{server: true, from: s.index, to: k}].Address()
		}
	}
	text, err := toml.Marshal(file)
	if err != nil {
		return err
	}
	return os.WriteFile(s.configPath(), text, 0o600)
}

func (s *controlServer) configPath() string { return filepath.Join(s.dir, "control.toml") }

// start starts the server unless it is running.
func (s *controlServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return nil
	}
	s.ending = false
	rig := s.control.rig
	command := exec.Command(rig.Control, "serve", s.configPath())
	p, err := rig.launch(command, filepath.Join(s.dir, "log"), processObserver{started: func(int) {
		rig.history.add(Event{Kind: eventServerStart, Control: &ControlEvent{Server: s.index}})
	}, logged: func(*process, logLine) {}, exited: s.exited})
	s.current = p
	return err
}

// exited records the end of the server's process.
func (s *controlServer) exited(note string) {
	s.mu.Lock()
	ending := s.ending
	s.mu.Unlock()
	kind := eventServerExit
	if !ending {
		kind = eventServerDied
	}
	s.control.rig.history.add(Event{Kind: kind, Note: note, Control: &ControlEvent{Server: s.index}})
}

// end calls a function that ends the server's process and waits until the process has ended.
func (s *controlServer) end(endProcess func(*process)) {
	s.mu.Lock()
	p := s.current
	s.ending = true
	s.mu.Unlock()
	if p == nil {
		return
	}
	endProcess(p)
	<-p.exited
	s.mu.Lock()
	s.current = nil
	s.mu.Unlock()
}

func (s *controlServer) kill()     { s.end(func(p *process) { p.cmd.Process.Kill() }) }
func (s *controlServer) shutDown() { s.end(func(p *process) { p.shutDown() }) }

// setStopped stops the server's process, or continues it if stopped is false.
func (s *controlServer) setStopped(stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	signal := syscall.SIGCONT
	if stopped {
		signal = syscall.SIGSTOP
	}
	s.current.cmd.Process.Signal(signal)
}

// copyData copies the server's data directory to another one next to it, for restoreData.
func (s *controlServer) copyData() error { return copyFiles(s.dataDir(), s.dataDir()+".old") }

// restoreData replaces the data directory by the copy that copyData made.
func (s *controlServer) restoreData() error {
	if err := os.RemoveAll(s.dataDir()); err != nil {
		return err
	}
	return copyFiles(s.dataDir()+".old", s.dataDir())
}

// wipeData empties the data directory.
func (s *controlServer) wipeData() error {
	if err := os.RemoveAll(s.dataDir()); err != nil {
		return err
	}
	return os.MkdirAll(s.dataDir(), 0o755)
}

// beginFault begins a fault of the server's process.
func (s *controlServer) beginFault(f ControlFault) error {
	switch f.Kind {
	case faultStop:
		s.setStopped(true)
	case faultKill:
		s.kill()
	case faultRestart:
		s.shutDown()
	case faultWipe:
		s.kill()
		return s.wipeData()
	case faultRollback:
		s.kill()
		return s.restoreData()
	}
	return nil
}

// endFault ends a fault of the server's process. It continues the process if the fault stopped it, otherwise it starts a new one.
func (s *controlServer) endFault(f ControlFault) error {
	if f.Kind == faultStop {
		s.setStopped(false)
		return nil
	}
	return s.start()
}
