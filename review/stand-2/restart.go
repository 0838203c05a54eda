package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["restart"] = restartCase }

// restartCase: in a release a third of the nodes are killed and start again, while hosts begin to drain. Lists are pushed, and
// the grace on drains is 50 ms. The clients of a killed node come again at once.
func restartCase(r *record, root string, trouble bool) (broken []string) {
	const (
		nodes  = 24
		killed = 8
		drains = 2 // of 9, under a quarter
		grace  = 50 * time.Millisecond
		slack  = 50 * time.Millisecond // each time limit on sockets is 50 ms longer
	)
	push := serviceType{Name: "rate-push", Effect: "repeatable", Group: "all", GiveUp: 3200000, Memory: 5000000, Target: 800000,
		Stream: true, Value: 1}
	d := deployment{mode: "pass", membership: "automatic", graceUS: 50000, askWithin: 10000000, nodes: nodes,
		zones: []string{"ahmedabad-dc1"}, types: []serviceType{push}, dialUS: 250000, attempts: 5, sockets: 512}
	disc := newDiscovery(r)
	var hosts []*host
	for i := range 9 {
		h := startHost(r, fmt.Sprintf("s-%08x", 0x5be2a000+i*7919))
		h.zone = "ahmedabad-dc1"
		hosts = append(hosts, h)
		disc.add(h.endpoint("SERVING"))
	}
	disc.up()
	var fleet []*node
	process := map[*node]*process{}
	for i := range nodes {
		n := newNode(r, root, d, i, disc.address, disc.whole())
		fleet = append(fleet, n)
		process[n] = n.start(false)
	}
	for _, n := range fleet {
		if !n.waitReady(20 * time.Second) {
			cannotRun("node %s was not ready in 20 s", n.name)
		}
	}
	for round := range 3 {
		time.Sleep(time.Second)
		struck := append([]*node{}, fleet...)
		rand.Shuffle(nodes, func(i, j int) { struck[i], struck[j] = struck[j], struck[i] })
		struck = struck[:killed]
		known := disc.whole()
		for _, n := range struck {
			process[n].kill()
		}
		time.Sleep(300 * time.Millisecond)
		out := hosts[round*drains : (round+1)*drains]
		if trouble {
			for _, h := range out {
				disc.change(h.endpoint("DRAINING"))
			}
		}
		time.Sleep(700 * time.Millisecond)
		var all flows
		var group sync.WaitGroup
		for _, n := range struck {
			n.config["known"] = known // as this node last had it
			process[n] = n.start(false)
			group.Go(func() { comeAgain(r, n, push.Name, &all) })
		}
		group.Wait()
		first := map[string]time.Time{} // when each node's machine first accepted a client after the start
		nodeOf := map[string]string{}
		for _, f := range all.all {
			if !f.connected {
				continue
			}
			nodeOf[f.id] = f.node
			if at, known := first[f.node]; !known || f.sentAt.Before(at) {
				first[f.node] = f.sentAt
			}
		}
		for _, h := range out {
			for _, a := range h.attempts() {
				at, known := first[nodeOf[a.id]]
				if trouble && known && a.firstByte.After(at.Add(grace+slack)) {
					broken = append(broken, fmt.Sprintf("round %d: %s, which drains, got %s %.3f s after its node took its first client", round, h.name,
						a.id, a.firstByte.Sub(at).Seconds()))
				}
			}
		}
	}
	return broken
}

// comeAgain has clients connect to a node that starts again: 40 of them, over 0.6 s from when it listens.
func comeAgain(r *record, n *node, class string, all *flows) {
	for end := time.Now().Add(5 * time.Second); !listens(n.address); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			cannotRun("node %s did not listen", n.name)
		}
	}
	var clients sync.WaitGroup
	for range 40 {
		clients.Go(func() {
			client{node: n.address, class: class, wait: 3200 * time.Millisecond, stays: 500 * time.Millisecond, gap: 2 * time.Second,
				extra: ",again=1"}.run(r, all)
		})
		time.Sleep(15 * time.Millisecond)
	}
	clients.Wait()
}
