package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// exitCannotRun is the exit code of a case that could not run.
const exitCannotRun = 2

var (
	startedMu sync.Mutex
	started   []*process
	folder    string // temporary folder of the case
)

// cannotRun ends all processes and the case with code 2.
func cannotRun(format string, arguments ...any) {
	fmt.Printf("could not run: "+format+"\n", arguments...)
	finish(exitCannotRun)
}

// finish ends all processes that the case started, removes its folder and exits.
func finish(code int) {
	startedMu.Lock()
	for _, p := range started {
		p.kill()
	}
	startedMu.Unlock()
	if folder != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(folder)
	}
	os.Exit(code)
}

// freeAddress returns a loopback address with a free port below the ephemeral ones.
func freeAddress() string {
	for range 200 {
		address := fmt.Sprint("127.0.0.1:", 15000+rand.IntN(16000))
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
	cannotRun("no free port")
	return ""
}

// serviceType is a class of the settings.
type serviceType struct {
	Name   string `json:"name"`
	Effect string `json:"effect"`
	Group  string `json:"group"`
	GiveUp int    `json:"give_up_us"`
	Memory int    `json:"memory_span_us"`
	Target int    `json:"setup_target_us"`
	Stream bool   `json:"stream"`
	Value  int    `json:"value"`
}

// deployment is what all nodes of a case share.
type deployment struct {
	mode       string // "proxy" or "pass"
	membership string // "automatic" or "subscribe"
	graceUS    int    // of the rule on drains
	askWithin  int    // us
	nodes      int
	types      []serviceType
	dialUS     int
	attempts   int
	sockets    int
	zones      []string
}

func (d deployment) settings(me int) map[string]any {
	if d.zones == nil {
		d.zones = []string{"a"}
	}
	return map[string]any{
		"clients": map[string]any{"marks_retry": true}, "family": "conn",
		"family_info": map[string]any{"groups": true, "mode": d.mode, "message_aim_us": []int{250000, 250000, 250000},
			"park_us": 4000000, "tells_delay": true, "tells_load": true, "tenant_quota_connections": []int{300}},
		"granularity_us": 4000,
		"invariants": map[string]any{"ask_within_us": d.askWithin, "cold_from": 0.3, "cold_us": 8000000, "fall_multiple": 3.0,
			"fall_us": 1000000, "grace_to_answer_us": 16000, "stop_sending_within_us": d.graceUS},
		"limits": map[string]any{"cancel": true, "cpu_us_per_s": 200000, "dial_timeout_us": d.dialUS, "keepalive_us": 5000000,
			"max_connects": d.attempts, "max_open": 1000000, "max_retry_after_us": 2000000, "multiplex": 1, "peers": false,
			"probes": true, "retry_after": true, "second_copies": false},
		"me": me, "membership_mode": d.membership, "models": []string{"m2"}, "overage_value": 0.1,
		"parties":   []any{map[string]any{"name": "acme", "fraction": 1.0, "allowance_per_s": 50.0}},
		"reporting": map[string]any{"fields": []string{}, "source": "off"}, "service_types": d.types, "siblings": d.nodes,
		"tier": 0, "tiers": []string{"streaming"}, "value_by": "request", "weights": "off", "zone": 0, "zones": d.zones,
	}
}

// node is one node of the deployment; its processes come one after the other, or two at once in an upgrade.
type node struct {
	record    *record
	name      string
	address   string
	config    map[string]any
	tmp       string
	processes int
	root      string
}

// process is one process of the program.
type process struct {
	cmd     *exec.Cmd
	admin   string
	begun   time.Time
	done    chan struct{}
	exit    error
	endedAt time.Time
	config  string
}

func newNode(r *record, root string, d deployment, number int, discoveryAddress string, known endpointList) *node {
	n := &node{record: r, name: fmt.Sprintf("n%d", number), address: freeAddress(), root: root}
	n.tmp = filepath.Join(folder, "tmp-"+n.name)
	os.Mkdir(n.tmp, 0o700)
	n.config = map[string]any{"name": n.name, "listen": n.address, "discovery": discoveryAddress,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": d.sockets},
		"known":    known,
		"settings": d.settings(number)}
	return n
}

var runLine = regexp.MustCompile(`(?m)^run\s*=\s*"(.*)"\s*$`)

// runCommand returns the command of the deploy file that starts a node.
func runCommand(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		cannotRun("deploy file: %v", err)
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		cannotRun("no run in the deploy file")
	}
	return string(match[1])
}

// start starts a process of the node. It has an operators' address if withAdmin is set.
func (n *node) start(withAdmin bool) *process {
	n.processes++
	p := &process{done: make(chan struct{}), begun: time.Now()}
	delete(n.config, "admin_addr")
	if withAdmin {
		p.admin = freeAddress()
		n.config["admin_addr"] = p.admin
	}
	n.config["seed"] = fmt.Sprintf("%016x", rand.Uint64())
	p.config = filepath.Join(folder, fmt.Sprintf("%s-%d.json", n.name, n.processes))
	n.write(p)
	log, err := os.Create(filepath.Join(folder, fmt.Sprintf("%s-%d.log", n.name, n.processes)))
	if err != nil {
		cannotRun("log: %v", err)
	}
	p.cmd = exec.Command("/bin/sh", "-c", runCommand(n.root))
	p.cmd.Dir = n.root
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+p.config, "TMPDIR="+n.tmp, "LB_NAME="+n.name, "LB_LISTEN="+n.address)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.begun = time.Now()
	if err := p.cmd.Start(); err != nil {
		cannotRun("node: %v", err)
	}
	startedMu.Lock()
	started = append(started, p)
	startedMu.Unlock()
	n.record.addAt(p.begun, "node %s: process %d started", n.name, n.processes)
	number := n.processes
	go func() {
		p.exit = p.cmd.Wait()
		p.endedAt = time.Now()
		log.Close()
		n.record.add("node %s: process %d ended: %v", n.name, number, p.exit)
		close(p.done)
	}()
	return p
}

// write writes the node's config for a process.
func (n *node) write(p *process) {
	text, _ := json.Marshal(n.config)
	if err := os.WriteFile(p.config+".new", text, 0o600); err != nil {
		cannotRun("config: %v", err)
	}
	if err := os.Rename(p.config+".new", p.config); err != nil {
		cannotRun("config: %v", err)
	}
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *process) kill() {
	select {
	case <-p.done:
	default:
		p.cmd.Process.Kill()
		p.cmd.Process.Signal(syscall.SIGCONT)
		<-p.done
	}
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// waitReady waits until the node answers PONG, at most for a time, and reports whether it did.
func (n *node) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ask(n.address) {
			return true
		}
	}
	return false
}

// call makes a call at a process's operators' address and returns the status code, 0 for none.
func (p *process) call(method, path string) int {
	request, _ := http.NewRequest(method, "http://"+p.admin+path, nil)
	request.Close = true
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode
}

// waitYes waits until a process says at its operators' address that it is ready.
func (p *process) waitYes(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.call("GET", "/-/ready") == 200 {
			return true
		}
	}
	return false
}
