package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/settings"
)

// A successor that started without the predecessor's revision would send flows to disabled hosts until it received one.
// It has the revision before it serves clients, each process notifies the other of later revisions, and a host that
// either process has disabled gets no flow from either.
func TestRevisionIsHandedOver(t *testing.T) {
	const disabled = "hosts.s-00000065.disabled_until_s = 1000000060\n"
	predecessor := newHarness(t, "pass", 3, 100)
	if err := predecessor.applySettings(1, disabled+"limits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	predecessor.query(DisableHost, "s-00000066")
	successor := predecessor.startSuccessor("pass")
	checkSettings(t, successor, 1, 2, 2)
	if err := predecessor.applySettings(2, disabled+"limits.max_connects = 1"); err != nil {
		t.Fatal(err)
	}
	predecessor.deliverTransfers(successor, false)
	checkSettings(t, successor, 2, 1, 2)
	predecessor.handOverTo(successor)
	if successor.unavailable() != 2 || len(successor.discoveryMoves) != 0 {
		t.Errorf("%d unavailable", successor.unavailable())
	}
	for range 40 {
		successor.openFlow(chatRequest)
	}
	toDisabled := successor.dialsTo("h1", 0) + successor.dialsTo("h2", 0)
	if toDisabled != 0 || successor.dialsTo("h0", 0) == 0 {
		t.Error("a disabled host got a flow")
	}
	if err := successor.applySettings(3, ""); err != nil { // the process that serves the clients receives the revisions now
		t.Fatal(err)
	}
	successor.deliverTransfers(predecessor, false)
	predecessor.deliverTransfers(successor, false)
	checkSettings(t, predecessor, 3, 3, 1)
	if updates := len(successor.updates) + len(predecessor.updates); successor.unavailable() != 1 || updates != 0 {
		t.Errorf("%d unavailable, %d updates", successor.unavailable(), updates)
	}
	successor.query(EnableHost, "s-00000066")
	if successor.unavailable() != 0 {
		t.Error("a host that was disabled at the predecessor cannot be enabled")
	}
}

// checkSettings checks the revision in force, the limit of attempts and the number of unavailable hosts.
func checkSettings(t *testing.T, harness *testHarness, number uint64, maxAttempts, unavailable int) {
	t.Helper()
	revision := harness.node.Revision()
	attempts := harness.node.balancer.MaxAttempts
	if revision.Number != number || attempts != maxAttempts || harness.unavailable() != unavailable {
		t.Fatalf("%+v, %d attempts, %d unavailable; wanted revision %d, %d, %d", revision, attempts,
			harness.unavailable(), number, maxAttempts, unavailable)
	}
}

// If a successor's start settings do not allow the predecessor's revision, the hosts that the revision disables would
// get flows until another revision arrives. They stay disabled instead.
func TestRejectedRevisionKeepsHostsDisabled(t *testing.T) {
	predecessor := newHarness(t, "pass", 3, 100)
	text := "hosts.s-00000065.disabled_until_s = 1000000060\nlimits.max_connects = 2"
	if err := predecessor.applySettings(1, text); err != nil {
		t.Fatal(err)
	}
	state := exchangeJSON(predecessor, predecessor.query(ClaimHandover, "").Handover)
	fewer := strings.Replace(settingsJSON, `"max_connects":3`, `"max_connects":1`, 1)
	balancer, listener, err := settings.Parse(fmt.Appendf(nil, fewer, "pass"), 8)
	if err != nil {
		t.Fatal(err)
	}
	successor := newHarness(t, "pass", 0, 100)
	successor.node = New(successor.now, Start{
		Settings: balancer, Listener: listener, MaxDescriptors: 100, HasPredecessor: true, Handover: state,
	})
	successor.apply(TimerFired{})
	if !successor.node.Revision().IsZero() {
		t.Errorf("revision %+v is in force, wanted none", successor.node.Revision())
	}
	checkSettings(t, successor, 0, 1, 1)
}

// successorsLists are the ways in which the list that a successor knows at its start differs from its predecessor's.
var successorsLists = []struct {
	name   string
	change func(hosts []endpoint.Host) []endpoint.Host
}{
	{"same", func(hosts []endpoint.Host) []endpoint.Host { return hosts }},
	{"none", func([]endpoint.Host) []endpoint.Host { return nil }},
	{"reversed", func(hosts []endpoint.Host) []endpoint.Host { slices.Reverse(hosts); return hosts }},
	{"first host missing", func(hosts []endpoint.Host) []endpoint.Host { return hosts[1:] }},
	{"last hosts only", func(hosts []endpoint.Host) []endpoint.Host { return hosts[2:] }},
	{"another host first", func(hosts []endpoint.Host) []endpoint.Host {
		removed := endpoint.Host{Name: "s-000000ff", Address: "removed", Zone: "a", Status: "SERVING", Weight: 1}
		return slices.Insert(hosts, 0, removed)
	}},
}

// If a successor took the predecessor's disabled hosts for others, a host that an operator has disabled would get flows,
// and one that is enabled again would get none. The disabled hosts are the same ones in the successor, whichever list it
// knew at its start, and an operator's later calls at it take effect.
func TestDisabledHostsAreHandedOverByName(t *testing.T) {
	for _, list := range successorsLists {
		for _, settingsText := range []string{"", "limits.max_connects = 2"} { // without a revision of the live settings, and with one
			t.Run(fmt.Sprintf("%s, settings %q", list.name, settingsText), func(t *testing.T) {
				predecessor := newHarness(t, "pass", 4, 1000)
				if settingsText != "" {
					if err := predecessor.applySettings(1, settingsText); err != nil {
						t.Fatal(err)
					}
				}
				predecessor.query(DisableHost, "s-00000066")
				known := hostList(4)
				known.Hosts = list.change(known.Hosts)
				successor := predecessor.startSuccessorThatKnows("pass", known)
				predecessor.handOverTo(successor)
				checkFlowsByHost(t, successor, "h0", "h1", "h3")
				successor.query(EnableHost, "s-00000066")
				checkFlowsByHost(t, successor, "h0", "h1", "h2", "h3")
				successor.query(DisableHost, "s-00000065")
				checkFlowsByHost(t, successor, "h0", "h2", "h3")
			})
		}
	}
}

// checkFlowsByHost opens flows and checks that these hosts and no others get some of them.
func checkFlowsByHost(t *testing.T, harness *testHarness, want ...string) {
	t.Helper()
	const flows = 100
	began := len(harness.flowDials)
	for key := range flows {
		client, host := harness.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", key))
		harness.receive(host, "BYE\r\n", StreamEnded)
		harness.receive(client, "", StreamEnded)
		harness.advance(0.1)
	}
	var got []string
	for _, address := range []string{"h0", "h1", "h2", "h3", "removed"} {
		if harness.dialsTo(address, began) > 0 {
			got = append(got, address)
		}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("flows at %v, want %v", got, want)
	}
}
