package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gorseledge/internal/discovery/endpoint"
)

// A reload could interrupt connections, go on watching the list at the old address, or apply an invalid config. Repeated
// SIGHUPs under load must move the watch to the new address and affect no connection; an invalid config changes nothing.
func TestReloadUnderLoad(t *testing.T) {
	n := startNode(t, "proxy", 3, 200)
	client, host := n.establish()
	for at := range n.hosts {
		n.serveAtHost(at)
	}
	stop, answered := make(chan struct{}), make(chan string, 1)
	go func() { answered <- n.placeFlowsUntil(stop) }()
	old := n.discovery
	for round := range 3 {
		if err := os.WriteFile(n.configPath, []byte(`{"listen":`), 0o600); err != nil {
			t.Fatal(err)
		}
		n.signal(syscall.SIGHUP)
		for strings.Count(n.log.text(), "config rejected") <= round {
			client.send("M\r\n")
			host.expect("M")
			host.send("M\r\n")
			client.expect("M")
		}
		next := startDiscovery(t)
		n.config["discovery"] = next.Address()
		n.writeConfig()
		n.signal(syscall.SIGHUP)
		next.Publish(endpoint.List{Index: int64(round + 2), Hosts: []endpoint.Host{{Name: fmt.Sprintf("s-0000000%d", round+1),
			Address: "h:1", Status: "DRAINING"}}})
		n.waitForLog(fmt.Sprintf("base list of %d servers", round+4))
		select {
		case <-old.WatchClosed:
		case <-time.After(waitTimeout):
			t.Fatalf("the old discovery is still watched after %v", waitTimeout)
		}
		old = next
	}
	close(stop)
	if got := <-answered; got != "UP 1" {
		t.Errorf("a flow was answered %q, want UP 1", got)
	}
}

// placeFlowsUntil places one flow after the other until stop is closed. It returns the first answer other than "UP 1", or
// "UP 1" if there is none.
func (n *testNode) placeFlowsUntil(stop <-chan struct{}) string {
	answer := "UP 1"
	for {
		select {
		case <-stop:
			return answer
		default:
		}
		if got := n.placeFlow(); answer == "UP 1" {
			answer = got
		}
	}
}
