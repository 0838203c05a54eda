package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/fleet/view"
)

// followerFleetFile writes the fleet file of a node that follows a control server, and gives its path.
func followerFleetFile(t *testing.T, server string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.toml")
	text := fmt.Sprintf("fleet = %q\naddress = %q\njoin = [%q]\nkey = %q\nperiod_s = 0.2\nregion = \"west\"\n"+
		"[via]\n\"127.9.9.9:7100\" = %q\n[[control]]\nname = \"c1\"\naddress = \"127.9.9.9:7100\"\nregion = \"west\"\n",
		controlFleet, freeAddress(t), freeAddress(t), controlKey, server)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startFollower starts a node with a second address that follows a control server.
func startFollower(t *testing.T, server, tempDir string) *testNode {
	t.Helper()
	n := &testNode{T: t, adminAddress: freeAddress(t), tempDir: tempDir, fleetFile: followerFleetFile(t, server)}
	n.startWithHosts("pass", 3, 400)
	for at := range n.hosts {
		n.respondAtHost(at, func(string) string { return fmt.Sprint("UP ", at) })
	}
	return n
}

// waitForConfigPage waits until the node's page of its configuration passes a check, and gives it.
func (n *testNode) waitForConfigPage(what string, check func(view.Config) bool) view.Config {
	n.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		var c view.Config
		code, body := n.callAdmin("GET", "/-/config")
		if code == 200 && json.Unmarshal([]byte(body), &c) == nil && check(c) {
			return c
		}
		if time.Now().After(end) {
			n.Fatalf("want %s, it shows %d %s", what, code, body)
		}
	}
}

// waitForRevision waits until the node's page says that a revision is in force, and gives the page.
func (n *testNode) waitForRevision(v configfeed.Version) view.Config {
	n.Helper()
	return n.waitForConfigPage(v.String()+" in force", func(c view.Config) bool {
		return c.Epoch == v.Epoch && c.Revision == v.Revision
	})
}

// lastClientKey is the key of the last client of tryNewClient.
var lastClientKey atomic.Int64

// tryNewClient has a client come that has not come before, and so may be placed on any host, and gives its answer.
func (n *testNode) tryNewClient() string {
	return n.tryOpeningLine(fmt.Sprintf("OPEN %06x %x c=chat,d=900\r\n", lastFlowID.Add(1), lastClientKey.Add(1)))
}

// countAnswers counts the answers to so many new clients.
func (n *testNode) countAnswers(clients int) map[string]int {
	n.Helper()
	answers := map[string]int{}
	for range clients {
		answers[n.tryNewClient()]++
	}
	return answers
}

// disablingDocument gives live settings under which hosts are disabled.
func disablingDocument(hosts ...string) string {
	var document strings.Builder
	for _, host := range hosts {
		fmt.Fprintf(&document, "[hosts.%s]\ndisabled_until_s = 4000000000\n", host)
	}
	return document.String()
}

// A revision is in force at a node as soon as it shows it: a disabled host gets no further flow, one that does not fit
// is refused completely, with its reason, and all goes on without the server.
func TestLiveSettingsTakeEffect(t *testing.T) {
	c := startControlServer(t)
	n := startFollower(t, c.address, "")
	v := c.apply(disablingDocument("s-00000064"))
	n.waitForRevision(v)
	if answers := n.countAnswers(60); answers["UP 0"] != 0 || answers["UP 1"]+answers["UP 2"] != 60 {
		t.Errorf("with one host disabled clients were answered %v", answers)
	}
	n.waitForLog(`"message":"configuration revision processed"`, `"in_force":true`, fmt.Sprintf(`"revision":%d`, v.Revision))

	refused := c.apply(disablingDocument("s-00000064", "s-00000065") + "[limits]\nmax_connects = 64\n")
	page := n.waitForConfigPage("a refusal", func(c view.Config) bool { return c.Refused != nil })
	if page.Revision != v.Revision || page.Refused.Revision != refused.Revision || page.Newest.Revision != refused.Revision ||
		!strings.Contains(page.Refused.Reason, "limits.max_connects: 64 is over the start's 3") {
		t.Errorf("%+v, refused %+v", page, page.Refused)
	}
	n.waitForLog(`"message":"configuration revision processed"`, `"in_force":false`, "is over the start's 3")
	if answers := n.countAnswers(60); answers["UP 0"] != 0 || answers["UP 1"] == 0 || answers["UP 2"] == 0 {
		t.Errorf("after a refusal clients were answered %v", answers)
	}

	v = c.apply(disablingDocument("s-00000065"))
	if page := n.waitForRevision(v); page.Refused != nil || page.Server != "c1" || !page.Follows || page.Region != "west" || page.Requests == 0 {
		t.Errorf("%+v", page)
	}
}

// With its control server gone a node keeps the revision in force and shows its age; it follows again once the server is
// back.
func TestLiveSettingsStayWithoutControlServer(t *testing.T) {
	c := startControlServer(t)
	n := startFollower(t, c.address, "")
	v := c.apply(disablingDocument("s-00000065"))
	n.waitForRevision(v)
	c.stop()
	heard := n.waitForConfigPage("the time of the last answer", func(c view.Config) bool { return c.Heard > 0 }).Heard
	page := n.waitForConfigPage("that the last answer grows old", func(c view.Config) bool { return c.Age > 3 })
	if page.Revision != v.Revision || page.Heard < heard {
		t.Errorf("without a server: %+v", page)
	}
	if answers := n.countAnswers(60); answers["UP 1"] != 0 || answers["UP 0"]+answers["UP 2"] != 60 {
		t.Errorf("without a server clients were answered %v", answers)
	}
	if code, metrics := n.callAdmin("GET", "/-/metrics"); code != 200 || !strings.Contains(metrics, fmt.Sprintf("lb.config.revision:%d|g\n", v.Revision)) {
		t.Errorf("%d %s", code, metrics)
	}
	c.serve()
	n.waitForRevision(c.apply(""))
	for end := time.Now().Add(waitTimeout); n.tryNewClient() != "UP 1"; {
		if time.Now().After(end) {
			t.Fatal("a host that is disabled no longer gets nothing")
		}
	}
}

// A node that starts again accepts clients with the revision in force, and without any server with its own file.
func TestRestartWithLiveSettings(t *testing.T) {
	c := startControlServer(t)
	n := startFollower(t, c.address, "")
	v := c.apply(disablingDocument("s-00000064"))
	n.waitForRevision(v)
	n.signal(syscall.SIGKILL)
	n.process.Wait()
	n.startProcess()
	n.waitUntilServing() // its first answer of all is after the listener has opened
	n.checkFirstClients(40)
	n.waitForRevision(v)
	n.signal(syscall.SIGKILL)
	n.process.Wait()
	c.stop()
	n.startProcess()
	n.waitUntilServing()
	if page := n.waitForConfigPage("its page", func(view.Config) bool { return true }); page.Revision != 0 || page.Heard != 0 {
		t.Errorf("without a server: %+v", page)
	}
	for end := time.Now().Add(waitTimeout); n.tryNewClient() != "UP 0"; {
		if time.Now().After(end) {
			t.Fatal("without a server the node does not go by its file")
		}
	}
}

// noSettingsInTime is what a node logs that accepts clients without any revision of the live settings.
const noSettingsInTime = "no live settings in time"

// checkFirstClients has the first clients of a process come, with the first host disabled by the live settings. On a
// machine so busy that the process did not receive these in time, which it then logs, there is nothing to check.
func (n *testNode) checkFirstClients(clients int) {
	n.Helper()
	answers := n.countAnswers(clients)
	if strings.Contains(n.log.text(), noSettingsInTime) {
		n.Logf("the machine is too busy to tell: %v", answers)
	} else if answers["UP 0"] != 0 || answers["UP 1"]+answers["UP 2"] != clients {
		n.Errorf("the first clients were answered %v", answers)
	}
}

// Discovery is followed where the live settings say, whatever a config that is read again says, and where the config
// says once they say nothing.
func TestLiveSettingsMoveDiscovery(t *testing.T) {
	c := startControlServer(t)
	n := startFollower(t, c.address, "")
	elsewhere, third := startDiscovery(t), startDiscovery(t)
	list := endpoint.List{Index: 1, Complete: true, Hosts: []endpoint.Host{{Name: "s-00000066", Address: n.hosts[2].Addr().String(),
		Zone: "a", Status: "SERVING", Weight: 1}}}
	elsewhere.Publish(list)
	third.Publish(endpoint.List{Index: 1, Complete: true})
	n.waitForRevision(c.apply(fmt.Sprintf("discovery = %q", elsewhere.Address())))
	n.waitForMetric("lb.targets:1|g\n")
	n.config["discovery"] = third.Address()
	n.writeConfig()
	n.signal(syscall.SIGHUP)
	n.waitForLog("discovery stays where the live settings say")
	if answers := n.countAnswers(20); answers["UP 2"] != 20 {
		t.Errorf("clients were answered %v", answers)
	}
	n.waitForRevision(c.apply(""))
	n.waitForMetric("lb.targets:0|g\n")
	third.Publish(endpoint.List{Index: 2, Complete: true, Hosts: list.Hosts})
	n.waitForMetric("lb.targets:1|g\n")
}
