package main

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gorseledge/internal/fleet/view"
)

// The successor of a process that follows no control server inherits no revision of the live settings. If it accepted
// clients before it has received one, those clients would be sent to disabled hosts.
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
	n.waitForConfigPage("a node that follows a control server", func(c view.Config) bool { return c.Follows && c.Revision > 0 })
}

// A successor that started without the live settings would send clients to disabled hosts, above all while no control
// server answers. It inherits the predecessor's revision before it accepts clients, and then follows the control server
// in the predecessor's place.
func TestUpgradeKeepsLiveSettings(t *testing.T) {
	c := startControlServer(t)
	n := startFollower(t, c.address, shortTempDir(t))
	v := c.apply(disablingDocument("s-00000064"))
	n.waitForRevision(v)
	if code, _ := n.callAdmin("PUT", "/-/hosts/s-00000065/disable"); code != 200 {
		t.Fatalf("disabling a host was answered %d", code)
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
			t.Errorf("during the upgrade a client was answered %q, want UP 2", got)
		}
		return true
	})
	c.serve()
	n.waitForConfigPage("a successor that follows c1", func(c view.Config) bool { return c.Follows && c.Server == "c1" && c.Age < 3 })
	n.waitForRevision(c.apply(""))
	if got := n.countAnswers(30); got["UP 1"] != 0 || got["UP 0"]+got["UP 2"] != 30 {
		t.Errorf("with host 1 disabled by an operator, clients were answered %v", got)
	}
	if code, _ := n.callAdmin("PUT", "/-/hosts/s-00000065/enable"); code != 200 {
		t.Fatalf("enabling a host was answered %d", code)
	}
	for end := time.Now().Add(waitTimeout); n.tryNewClient() != "UP 1"; {
		if time.Now().After(end) {
			t.Fatalf("a host that an operator has enabled again gets no flow within %v", waitTimeout)
		}
	}
}

// A revision may have keys without effect at a node. A configuration page that shows the revision without them, for a moment
// after it was put in force or at the successor of an upgrade, tells the operator that all of its keys have effect.
func TestIgnoredKeysAreShownWithTheirRevision(t *testing.T) {
	c := startControlServer(t)
	n := startFollower(t, c.address, shortTempDir(t))
	v := c.apply("[tenants.nobody]\nconnections = 1\n")
	want := []string{"tenants.nobody"}
	if page := n.waitForRevision(v); !slices.Equal(page.Ignored, want) {
		t.Errorf("once the revision is shown, ignored keys %q, want %q", page.Ignored, want)
	}
	predecessorAdmin := n.adminAddress
	old := n.startSuccessor()
	n.waitUntilReady()
	if page := n.waitForRevision(v); !slices.Equal(page.Ignored, want) {
		t.Errorf("at the successor, ignored keys %q, want %q", page.Ignored, want)
	}
	v = c.apply("[tenants.other]\nconnections = 1\n")
	want = []string{"tenants.other"}
	for _, admin := range []string{n.adminAddress, predecessorAdmin} {
		n.adminAddress = admin
		if page := n.waitForRevision(v); !slices.Equal(page.Ignored, want) {
			t.Errorf("at admin address %s (predecessor: %s), ignored keys %q, want %q", admin, predecessorAdmin, page.Ignored, want)
		}
	}
	n.shutDown(old)
}

// streamEach has new clients connect one after the other and passes each answer to the function each, until stop is called.
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
