package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["zones"] = zonesCase }

// zonesCase: flows of a keyed type whose group is the zone, while servers reset connections under a share of the requests.
// The servers stand in more zones than the site names.
func zonesCase(r *record, root string, trouble bool) (broken []string) {
	keyed := serviceType{Name: "studio-upload", Effect: "by_key", Group: "zone", GiveUp: 3000000, Memory: 5000000, Target: 500000,
		Stream: true, Value: 5}
	d := deployment{mode: "pass", membership: "subscribe", graceUS: 400000, askWithin: 10000000, nodes: 1, zones: []string{"miraflores", "san-isidro", "surco"},
		types: []serviceType{keyed}, dialUS: 250000, attempts: 5, sockets: 512}
	disc := newDiscovery(r)
	zones := append(append([]string{}, d.zones...), "callao", "ancon") // more than the site names
	zoneOf := map[string]string{}
	var hosts []*host
	for i := range 10 {
		h := startHost(r, fmt.Sprintf("s-%08x", 0x5be2a000+i*7919))
		name := h.name
		h.answer.Store(func(attempt) string {
			if trouble && rand.IntN(10) == 0 {
				return "RESET"
			}
			return "UP " + name
		})
		hosts = append(hosts, h)
		h.zone = zones[i%len(zones)]
		zoneOf[name] = h.zone
		disc.add(h.endpoint("SERVING"))
	}
	disc.up()
	n := newNode(r, root, d, 0, disc.address, disc.whole())
	n.start(false)
	if !n.waitReady(10 * time.Second) {
		cannotRun("not ready")
	}
	var all flows
	var wg sync.WaitGroup
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		wg.Go(func() {
			client{node: n.address, class: keyed.Name, wait: 3 * time.Second, stays: 2 * time.Second, gap: 2 * time.Second}.run(r, &all)
		})
	}
	wg.Wait()
	sent := map[string][]attempt{}
	for _, h := range hosts {
		for _, a := range h.attempts() {
			sent[a.id] = append(sent[a.id], a)
		}
	}
	for id, attempts := range sent {
		at := map[string]bool{}
		var order []string
		for _, a := range attempts { // each was read by its server in full, and may have run
			at[zoneOf[a.host]] = true
			order = append(order, fmt.Sprintf("%s (zone %s) at %.3f", a.host, zoneOf[a.host], r.seconds(a.firstByte)))
		}
		if len(at) > 1 {
			broken = append(broken, fmt.Sprintf("flow %s may have run in more than one zone: %s", id, strings.Join(order, ", ")))
		}
	}
	return broken
}
