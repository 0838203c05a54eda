package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["moved"] = movedCase }

// movedCase: a new configuration moves discovery to another address, where it is crowded at first and turns callers away.
// Hosts begin to drain soon after, and stay up.
func movedCase(r *record, root string, trouble bool) (broken []string) {
	const (
		grace   = 400 * time.Millisecond
		slack   = 50 * time.Millisecond // each time limit on sockets is 50 ms longer
		told    = 4 * time.Second       // after SIGHUP
		crowded = 3 * time.Second       // for which discovery turns callers away
		drains  = 4                     // of 17, under a quarter
	)
	episode := serviceType{Name: "episode-stream", Effect: "repeatable", Group: "all", GiveUp: 4800000, Memory: 5000000, Target: 800000,
		Stream: true, Value: 3}
	d := deployment{mode: "pass", membership: "subscribe", graceUS: 400000, askWithin: 10000000, nodes: 48,
		zones: []string{"miraflores", "san-isidro", "surco"}, types: []serviceType{episode}, dialUS: 250000, attempts: 5, sockets: 512}
	disc := newDiscovery(r)
	var hosts []*host
	for i := range 17 {
		h := startHost(r, fmt.Sprintf("s-%08x", 0x5be2a000+i*7919))
		h.zone = d.zones[i%3]
		hosts = append(hosts, h)
		disc.add(h.endpoint("SERVING"))
	}
	disc.up()
	n := newNode(r, root, d, 3, disc.address, disc.whole())
	p := n.start(false)
	if !n.waitReady(10 * time.Second) {
		cannotRun("not ready")
	}
	var all flows
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			wg.Go(func() {
				client{node: n.address, class: episode.Name, wait: 4800 * time.Millisecond, stays: time.Second, gap: 2 * time.Second}.run(r, &all)
			})
		}
	})
	type drained struct {
		h          *host
		told, back time.Time
	}
	var drainings []drained
	for range 10 {
		time.Sleep(2 * time.Second)
		n.config["discovery"] = disc.move()
		n.write(p)
		disc.setRefusing(trouble)
		reloaded := time.Now()
		p.signal(syscall.SIGHUP)
		r.add("SIGHUP")
		time.Sleep(500 * time.Millisecond)
		var out []*host
		for _, at := range rand.Perm(len(hosts))[:drains] {
			disc.change(hosts[at].endpoint("DRAINING"))
			out = append(out, hosts[at])
		}
		time.Sleep(time.Until(reloaded.Add(crowded)))
		disc.setRefusing(false)
		time.Sleep(time.Until(reloaded.Add(7 * time.Second)))
		for _, h := range out {
			drainings = append(drainings, drained{h, reloaded.Add(told), time.Now()})
			disc.change(h.endpoint("SERVING")) // for the next round
		}
	}
	close(stop)
	wg.Wait()
	for _, o := range drainings {
		for _, a := range o.h.attempts() {
			if a.firstByte.After(o.told.Add(grace+slack)) && a.firstByte.Before(o.back) {
				broken = append(broken, fmt.Sprintf("%s counts as told at %.3f to drain, got %s %.3f s after that", o.h.name, r.seconds(o.told), a.id,
					a.firstByte.Sub(o.told).Seconds()))
			}
		}
	}
	return broken
}
