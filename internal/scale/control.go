package scale

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/controlfile"
	"gorseledge/internal/rig"
)

const (
	controlPort         = 7100
	controlReadyTimeout = 30 * time.Second // time for the control servers to become ready after a start
	readyPollInterval   = 50 * time.Millisecond
)

// controlServers are the control servers of a run, which are processes of the built program. For each pair of a region and
// a server there is a relay through which the region reaches the server, so that a region can be cut off.
type controlServers struct {
	plan    *Plan
	dir     string
	program string
	servers []*controlServer
	relays  map[relayKey]*rig.Relay
	client  http.Client
	changes int // documents written so far
}

// relayKey identifies the relay from a region to a server.
type relayKey struct{ region, server int }

// controlServer is one control server.
type controlServer struct {
	name    string
	address string
	region  int
	file    string // path of the control file
	log     string // path of the log file
	mu      sync.Mutex
	cmd     *exec.Cmd // nil while the server is not running
}

func regionName(region int) string { return fmt.Sprintf("r%d", region) }

// startControls starts as many control servers in each region as the script states, and waits until they are ready. The
// first server is the writer. If startControls fails, none of the servers is left running.
func startControls(ctx context.Context, s *Script, p *Plan, program, dir string, seed uint64) (c *controlServers, err error) {
	c = &controlServers{plan: p, dir: dir, program: program, relays: map[relayKey]*rig.Relay{},
		client: http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	for region, servers := range s.ControlServers {
		for range servers {
			i := len(c.servers)
			c.servers = append(c.servers, &controlServer{name: fmt.Sprintf("c%d", i+1), region: region,
				address: fmt.Sprintf("127.%d.254.%d:%d", p.network, i+1, controlPort),
				file:    filepath.Join(dir, fmt.Sprintf("c%d.toml", i+1)), log: filepath.Join(dir, fmt.Sprintf("c%d.log", i+1))})
		}
	}
	for region := range s.ZonesPerRegion {
		for i, server := range c.servers {
			if c.relays[relayKey{region, i}], err = rig.NewRelay(server.address, seed*10000+uint64(100*region+i)); err != nil {
				return c, err
			}
		}
	}
	for i := range c.servers {
		if err := c.writeControlFile(i); err != nil {
			return c, err
		}
	}
	if err := c.startAll(); err != nil {
		return c, err
	}
	return c, c.ready(ctx)
}

// via returns, by server address, the relay address at which a region reaches that server.
func (c *controlServers) via(region int) map[string]string {
	out := map[string]string{}
	for i, server := range c.servers {
		out[server.address] = c.relays[relayKey{region, i}].Address()
	}
	return out
}

// writeControlFile writes the control file of the i-th server.
func (c *controlServers) writeControlFile(i int) error {
	own := c.servers[i]
	file := controlfile.Config{Fleet: c.plan.ID, Name: own.name, Key: c.plan.Key, Directory: filepath.Join(c.dir, own.name),
		Writer: c.servers[0].name, Via: c.via(own.region)}
	for _, server := range c.servers {
		file.Servers = append(file.Servers, controlfile.Server{Name: server.name, Address: server.address, Region: regionName(server.region)})
	}
	delete(file.Via, own.address)
	text, err := toml.Marshal(file)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(file.Directory, 0o755); err != nil {
		return err
	}
	return os.WriteFile(own.file, text, 0o600)
}

func (c *controlServers) startAll() error {
	for _, server := range c.servers {
		if err := server.start(c.program); err != nil {
			return err
		}
	}
	return nil
}

// start starts the server unless it is running. The server appends its log to the log file.
func (s *controlServer) start(program string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(s.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close() // the process has a descriptor of its own
	cmd := exec.Command(program, "serve", s.file)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	s.cmd = cmd
	return nil
}

// end sends the server a signal that ends it and waits for the exit; after exitTimeout the server is killed.
func (s *controlServer) end(signal syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return
	}
	s.cmd.Process.Signal(syscall.SIGCONT) // a stopped process handles no other signal
	s.cmd.Process.Signal(signal)
	kill := time.AfterFunc(exitTimeout, func() { s.cmd.Process.Kill() })
	defer kill.Stop()
	s.cmd.Wait()
	s.cmd = nil
}

// signal sends the server a signal that does not end it.
func (s *controlServer) signal(signal syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil {
		s.cmd.Process.Signal(signal)
	}
}

func (s *controlServer) pid() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return 0
	}
	return s.cmd.Process.Pid
}

func (c *controlServers) pids() (out []int) {
	if c == nil {
		return nil
	}
	for _, server := range c.servers {
		if pid := server.pid(); pid != 0 {
			out = append(out, pid)
		}
	}
	return out
}

// ready waits until every running server reports that it is ready, or returns an error after controlReadyTimeout.
func (c *controlServers) ready(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, controlReadyTimeout)
	defer stop()
	for _, server := range c.servers {
		for server.pid() != 0 && !c.isReady(ctx, server) {
			if err := sleep(ctx, readyPollInterval.Seconds()); err != nil {
				return fmt.Errorf("waiting for control server %s to be ready: %w; last log line: %s", server.name, err, lastLine(server.log))
			}
		}
	}
	return nil
}

func (c *controlServers) isReady(ctx context.Context, server *controlServer) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.address+"/-/ready", nil)
	if err != nil {
		return false
	}
	answer, err := c.client.Do(req)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func lastLine(path string) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// apply applies a new document with the apply command that operators use, and returns the version of the resulting revision.
func (c *controlServers) apply(ctx context.Context, previous configfeed.Version) (v configfeed.Version, err error) {
	c.changes++
	document := filepath.Join(c.dir, fmt.Sprintf("live-%d.toml", c.changes))
	// Each document differs from the previous one, in a setting that affects no flow of a run.
	text := fmt.Sprintf("retry_advice_s = %d.5\n", 1+c.changes%9)
	if err := os.WriteFile(document, []byte(text), 0o644); err != nil {
		return v, err
	}
	cmd := exec.CommandContext(ctx, c.program, "apply", document, "--control", c.servers[0].file,
		"--if-revision", fmt.Sprintf("%d.%d", previous.Epoch, previous.Revision))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return v, fmt.Errorf("apply: %w: %s", err, strings.TrimSpace(string(out)))
	}
	if _, err := fmt.Sscanf(string(out), "revision %d of epoch %d", &v.Revision, &v.Epoch); err != nil {
		return v, fmt.Errorf("apply: unexpected output %q", out)
	}
	return v, nil
}

// cut cuts each relay between two regions that the network separates, and restores all others.
func (c *controlServers) cut(network *cutNetwork) {
	if c == nil {
		return
	}
	for key, relay := range c.relays {
		cut := network.blocks(key.region, c.servers[key.server].region)
		relay.Set(func(w *rig.LinkConditions) { w.Cut = cut })
	}
}

// close ends all servers and relays and waits for their exit.
func (c *controlServers) close() {
	if c == nil {
		return
	}
	var all sync.WaitGroup
	for _, server := range c.servers {
		all.Go(func() { server.end(syscall.SIGTERM) })
	}
	all.Wait()
	for _, relay := range c.relays {
		if relay != nil {
			relay.Close()
		}
	}
	c.client.CloseIdleConnections()
}
