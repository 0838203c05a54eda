package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gorseledge/internal/fleet/view"
)

// A process that takes over from one that follows nobody has a revision before it accepts clients.
func TestUpgradeToLiveSettings(t *testing.T) {
	c := startControlServer(t)
	c.apply(disablingDocument("s-00000064"))
	n := startWithAdmin(t, "pass", shortTempDir(t), 400)
	for at := range n.hosts {
		n.respondAtHost(at, func(string) string { return fmt.Sprint("UP ", at) })
	}
	n.config["fleet"] = followerFleetFile(t, c.address)
	old := n.startSuccessor()
	n.waitUntilReady()
	n.shutDown(old)
	n.checkFirstClients(40)
	n.waitForConfigPage("that it follows", func(c view.Config) bool { return c.Follows && c.Revision > 0 })
}

// In an upgrade the new process accepts no client before it has the old one's revision, with or without a server, and
// is the one that follows from then on.
func TestUpgradeKeepsLiveSettings(t *testing.T) {
	c := startControlServer(t)
	n := startFollower(t, c.address, shortTempDir(t))
	v := c.apply(disablingDocument("s-00000064"))
	n.waitForRevision(v)
	if code, _ := n.callAdmin("PUT", "/-/hosts/s-00000065/disable"); code != 200 {
		t.Fatalf("answered %d", code)
	}
	c.stop()
	var answers sync.Map
	stop := n.streamEach(func(answer string) { answers.Store(answer, true) })
	old := n.startSuccessor()
	n.waitUntilReady()
	n.shutDown(old)
	n.waitForRevision(v)
	stop()
	answers.Range(func(got, _ any) bool {
		if got != "UP 2" {
			t.Errorf("over an upgrade a client was answered %q", got)
		}
		return true
	})
	c.serve()
	n.waitForConfigPage("that the new process follows", func(c view.Config) bool { return c.Follows && c.Server == "c1" && c.Age < 3 })
	n.waitForRevision(c.apply(""))
	if got := n.countAnswers(30); got["UP 1"] != 0 || got["UP 0"]+got["UP 2"] != 30 {
		t.Errorf("with one host disabled by an operator clients were answered %v", got)
	}
	if code, _ := n.callAdmin("PUT", "/-/hosts/s-00000065/enable"); code != 200 {
		t.Fatalf("answered %d", code)
	}
	for end := time.Now().Add(waitTimeout); n.tryNewClient() != "UP 1"; {
		if time.Now().After(end) {
			t.Fatal("a host that an operator has enabled again gets nothing")
		}
	}
}

// streamEach has new clients come one after the other, and hands on their answers, until stop is called.
func (n *testNode) streamEach(each func(answer string)) (stop func()) {
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stopped:
				return
			default:
				each(n.tryNewClient())
			}
		}
	}()
	return func() {
		close(stopped)
		<-ended
	}
}
