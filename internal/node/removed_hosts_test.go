package node

import (
	"fmt"
	"testing"

	"gorseledge/internal/discovery/endpoint"
)

// replaceHosts removes hosts from the list and adds as many new ones, one at a time, until so many were replaced. It returns
// the hosts that are on the list then.
func replaceHosts(harness *testHarness, hosts []endpoint.Host, replaced int) []endpoint.Host {
	harness.Helper()
	for i := range replaced {
		removed := hosts[0]
		removed.Status = statusRemoved
		added := endpoint.Host{Name: fmt.Sprintf("s-%08x", 0x1000+i), Address: fmt.Sprint("n", i), Zone: "a", Status: "SERVING", Weight: 1}
		hosts = append(hosts[1:], added)
		list := endpoint.List{Index: int64(100 + i), Hosts: []endpoint.Host{removed, added}}
		harness.now += 0.01
		harness.apply(ListReceived{list})
	}
	return hosts
}

// A host that is still needed must not be forgotten: its index would stand for another host, to which its connections and the
// decisions of operators would then belong. Of many hosts that were removed, those with a connection and those that are
// disabled are kept, and the memory for the others is bounded.
func TestNeededHostsAreKept(t *testing.T) {
	harness := newHarness(t, "pass", 4, 1000)
	client, host := harness.establish(chatRequest)
	used := map[string]string{"h0": "s-00000064", "h1": "s-00000065", "h2": "s-00000066", "h3": "s-00000067"}[harness.dialedAddress[host]]
	disabled := "s-00000064"
	if used == disabled {
		disabled = "s-00000065"
	}
	harness.query(DisableHost, disabled)
	replaceHosts(harness, hostList(4).Hosts, 3*maxRemovedHosts)
	for _, name := range []string{used, disabled} {
		index, known := harness.node.endpoints.byName[name]
		if !known || harness.node.endpoints.hosts[index].name != name {
			t.Errorf("host %s was forgotten", name)
		}
	}
	if got := len(harness.node.endpoints.hosts); got > 4+maxRemovedHosts+2 {
		t.Errorf("%d hosts are remembered, want at most %d", got, 4+maxRemovedHosts+2)
	}
	if !harness.query(EnableHost, disabled).OK {
		t.Error("an operator cannot enable the host any more")
	}
	if harness.connectionState[client] == "" {
		harness.receive(host, "BYE\r\n", StreamEnded)
	}
	harness.receive(client, "", StreamEnded)
	if len(harness.records) != 1 || harness.records[0].Host != used {
		t.Errorf("logged %+v, want one record of host %s", harness.records, used)
	}
}

// A new host that gets the index of a forgotten one must not inherit anything of it, and a forgotten host that returns is like
// a new one. Both get flows.
func TestForgottenHostLeavesNothingBehind(t *testing.T) {
	harness := newHarness(t, "pass", 4, 1000)
	first := hostList(4).Hosts
	harness.query(DisableHost, first[0].Name)
	harness.query(EnableHost, first[0].Name)
	hosts := replaceHosts(harness, hostList(4).Hosts, 2*maxRemovedHosts)
	if _, known := harness.node.endpoints.byName[first[0].Name]; known {
		t.Fatal("the first host is still remembered")
	}
	if harness.query(DisableHost, first[0].Name).OK {
		t.Error("a host that is not known can be disabled")
	}
	hosts[0] = first[0]
	harness.apply(ListReceived{endpoint.List{Index: 9000, Complete: true, Hosts: hosts}})
	harness.advance(60) // past any slow start
	if f := harness.query(GetStatistics, "").Statistics; f.Listed != 4 || f.Unavailable != 0 {
		t.Errorf("%d hosts listed, %d unavailable, want 4 and 0", f.Listed, f.Unavailable)
	}
	began := len(harness.flowDials)
	for key := range 200 {
		client, host := harness.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", key))
		harness.receive(host, "BYE\r\n", StreamEnded)
		harness.receive(client, "", StreamEnded)
	}
	for _, host := range hosts {
		if harness.dialsTo(host.Address, began) == 0 {
			t.Errorf("host %s gets no flow", host.Name)
		}
	}
}

// A successor takes over the hosts that are remembered, each with its own state, although indices have been used again.
func TestStateIsHandedOverAfterHostsWereForgotten(t *testing.T) {
	predecessor := newHarness(t, "pass", 4, 1000)
	hosts := replaceHosts(predecessor, hostList(4).Hosts, maxRemovedHosts+100)
	predecessor.query(DisableHost, hosts[1].Name)
	successor := predecessor.startSuccessor("pass")
	predecessor.handOverTo(successor)
	for i, host := range hosts {
		index := successor.node.endpoints.byName[host.Name]
		if got := successor.node.endpoints.hosts[index].administrative.disabled; got != (i == 1) {
			t.Errorf("host %s disabled %v", host.Name, got)
		}
	}
	if f := successor.query(GetStatistics, "").Statistics; f.Listed != 4 || f.Unavailable != 1 {
		t.Errorf("%d hosts listed, %d unavailable, want 4 and 1", f.Listed, f.Unavailable)
	}
}
