package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a node of the deployment: its address, its files and the processes that were started for it.
type node struct {
	name      string
	record    *record
	root      string // the checkout
	runLine   string // of the deploy file
	dir       string // for configs and logs
	tempDir   string // TMPDIR of the processes
	listen    string
	discovery string
	settings  map[string]any
	started   int

	mu        sync.Mutex
	processes []*process
}

// process is one process of a node.
type process struct {
	number int
	admin  string // the operators' address
	cmd    *exec.Cmd
	ended  chan struct{}
	at     time.Time // when it was started
}

// freeAddress returns a loopback address on which nobody listens, with a port below those that the kernel assigns itself.
func freeAddress() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// start starts a process of the node by the line run of the deploy file, with a config of its own.
func (n *node) start(known *list) (*process, error) {
	n.started++
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config := map[string]any{
		"name": n.name, "listen": n.listen, "discovery": n.discovery, "admin_addr": admin,
		"seed":   fmt.Sprintf("%016x", rand.Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": n.settings,
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(n.dir, fmt.Sprintf("config-%d.json", n.started))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(n.dir, fmt.Sprintf("log-%d.txt", n.started)))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", n.runLine)
	cmd.Dir = n.root
	cmd.Env = append(os.Environ(), "LB_NAME="+n.name, "LB_LISTEN="+n.listen, "LB_DISCOVERY="+n.discovery, "LB_CONFIG="+path,
		"LB_ADMIN_ADDR="+admin, "TMPDIR="+n.tempDir)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &process{number: n.started, admin: admin, cmd: cmd, ended: make(chan struct{}), at: time.Now()}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	n.record.now("node %s, process %d: started, pid %d, config %s", n.name, p.number, cmd.Process.Pid, text)
	go func() {
		err := cmd.Wait()
		n.record.now("node %s, process %d: ended: %v", n.name, p.number, err)
		close(p.ended)
	}()
	n.mu.Lock()
	n.processes = append(n.processes, p)
	n.mu.Unlock()
	return p, nil
}

// deployRun returns the line run of the deploy file.
func deployRun(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			return strconv.Unquote(value)
		}
	}
	return "", errors.New("the deploy file has no line run")
}

// signal sends a signal to a process.
func (n *node) signal(p *process, signal syscall.Signal) {
	n.record.now("node %s, process %d: signal %v", n.name, p.number, signal)
	p.cmd.Process.Signal(signal)
}

// end kills all processes that still run.
func (n *node) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.processes {
		p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
	}
}

// call makes a call to a process's operators' address, and returns the status, 0 for no answer.
func (n *node) call(p *process, method, path string) (status int, body string) {
	request, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	if method != http.MethodGet {
		n.record.now("operator: %s %s at node %s, process %d: %d %s", method, path, n.name, p.number, response.StatusCode,
			strings.TrimSpace(string(text)))
	}
	return response.StatusCode, string(text)
}

// waitReady waits until a process is ready: by its operators' address, and by a PING of a client.
func (n *node) waitReady(p *process, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if status, _ := n.call(p, http.MethodGet, "/-/ready"); status != http.StatusOK {
			continue
		}
		if n.ping() {
			n.record.now("node %s, process %d: ready", n.name, p.number)
			return nil
		}
	}
	return fmt.Errorf("node %s, process %d was not ready within %v", n.name, p.number, within)
}

// ping reports whether the node answers a PING at the clients' address.
func (n *node) ping() bool {
	c, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, "PING\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && strings.TrimSpace(line) == "PONG"
}
