package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["outage"] = outageCase }

// outageCase: discovery is down while two of three nodes are killed and start again. Lists are pushed. The front asks each of
// them once a second whether it is ready.
func outageCase(r *record, root string, trouble bool) (broken []string) {
	const (
		ready  = 30 * time.Second // no node may take longer
		outage = 35 * time.Second
	)
	live := serviceType{Name: "live-listen", Effect: "repeatable", Group: "all", GiveUp: 1800000, Memory: 5000000, Target: 300000,
		Stream: true, Value: 3}
	d := deployment{mode: "pass", membership: "automatic", graceUS: 500000, askWithin: 10000000, nodes: 3,
		zones: []string{"cayma", "yanahuara", "cerro-colorado"}, types: []serviceType{live}, dialUS: 250000, attempts: 3, sockets: 512}
	disc := newDiscovery(r)
	for i := range 9 {
		h := startHost(r, fmt.Sprintf("s-%08x", 0x5be2a000+i*7919))
		h.zone = d.zones[i%3]
		disc.add(h.endpoint("SERVING"))
	}
	disc.up()
	var fleet []*node
	var processes []*process
	for i := range 3 {
		n := newNode(r, root, d, i, disc.address, disc.whole())
		fleet = append(fleet, n)
		processes = append(processes, n.start(false))
		if !n.waitReady(20 * time.Second) {
			cannotRun("node %s was not ready in 20 s", n.name)
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		disc.down()
		r.add("discovery is down")
	}
	time.Sleep(time.Second)
	struck := fleet[:2]
	for i := range struck {
		processes[i].kill()
	}
	time.Sleep(2 * time.Second) // nodes come back after 1 to 7.9 s
	begun := time.Now()
	var mu sync.Mutex
	var front sync.WaitGroup
	for _, n := range struck {
		n.config["known"] = disc.whole()
		n.start(false)
		front.Go(func() {
			for time.Since(begun) < ready {
				time.Sleep(time.Second)
				if ask(n.address) {
					r.add("front: %s answers PONG %.1f s after its start", n.name, time.Since(begun).Seconds())
					return
				}
				r.add("front: %s does not answer PONG", n.name)
			}
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("%s is not ready %.0f s after its start", n.name, ready.Seconds()))
		})
	}
	front.Wait()
	all := &flows{}
	for _, n := range struck { // for the record: what a client would get there
		client{node: n.address, class: live.Name, wait: 1800 * time.Millisecond, stays: 0, gap: time.Second}.run(r, all)
	}
	if trouble {
		time.Sleep(time.Until(begun.Add(outage)))
		disc.up()
		r.add("discovery is back")
		for _, n := range struck {
			r.add("%s is ready within 10 s of that: %v", n.name, n.waitReady(10*time.Second))
		}
	}
	return broken
}
