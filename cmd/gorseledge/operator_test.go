package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startWithAdmin starts a node with an admin address and the given TMPDIR; tempDir is empty for none.
func startWithAdmin(t *testing.T, mode, tempDir string, descriptors int) *testNode {
	t.Helper()
	n := &testNode{T: t, adminAddress: freeAddress(t), tempDir: tempDir}
	n.startWithHosts(mode, 3, descriptors)
	return n
}

// callAdmin makes one call to the admin address. It returns the status code and the body, or 0 and the error's text if
// there is no answer.
func (n *testNode) callAdmin(method, path string) (code int, body string) {
	n.Helper()
	req, err := http.NewRequestWithContext(n.Context(), method, "http://"+n.adminAddress+path, nil)
	if err != nil {
		n.Fatal(err)
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(text)
}

// waitUntilReady waits until the process started last reports at its admin address that it is ready for clients.
func (n *testNode) waitUntilReady() {
	n.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		if code, _ := n.callAdmin("GET", "/-/ready"); code == 200 {
			return
		}
		if time.Now().After(end) {
			n.Fatalf("the new process is not ready after %v", waitTimeout)
		}
	}
}

// waitForMetric waits until the node's metrics contain a line.
func (n *testNode) waitForMetric(line string) {
	n.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		code, body := n.callAdmin("GET", "/-/metrics")
		if code == 200 && strings.Contains(body, line) {
			return
		}
		if time.Now().After(end) {
			n.Fatalf("no metric %q within %v: status %d, %s", line, waitTimeout, code, body)
		}
	}
}

// Idle clients and silent callers could use up the descriptors and lock operators out. Calls to the admin address are
// answered within a second while 400 idle clients and 200 silent callers are connected, and other clients are served.
func TestAdminAnswersUnderLoad(t *testing.T) {
	n := startWithAdmin(t, "proxy", t.TempDir(), 256)
	for at := range n.hosts {
		n.serveAtHost(at)
	}
	for i := range 200 {
		if conn, err := net.Dial("tcp", n.adminAddress); err == nil {
			defer conn.Close()
			io.WriteString(conn, []string{"", "GET /-/met"}[i%2])
		}
	}
	for range 400 { // clients that send nothing
		if conn, err := net.Dial("tcp", n.address); err == nil {
			defer conn.Close()
		}
	}
	stream := n.startStream()
	for i := range 20 {
		start := time.Now()
		code, body := n.callAdmin("GET", "/-/metrics")
		if code != 200 || !strings.Contains(body, "lb.targets:3|g\n") || time.Since(start) > time.Second {
			t.Errorf("scrape %d: status %d after %v, %s", i, code, time.Since(start), body)
		}
		if code, body := n.callAdmin("PUT", "/-/hosts/s-00000065/"+[]string{"disable", "enable"}[i%2]); code != 200 {
			t.Errorf("call %d: status %d, %s", i, code, body)
		}
	}
	stream.waitForServed(t, 20)
	stream.stop()
	if strings.Contains(n.log.text(), `"message":"accepting a client connection failed"`) {
		t.Error("accepting a client connection failed, so no descriptor was left for it")
	}
}
