package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	socketSlack = 50 * time.Millisecond // by which each time limit is longer on sockets
	watchFor    = 5 * time.Second       // for how long flows are counted after the second host was taken out
)

func init() { cases["maintenance"] = maintenance }

// maintenance takes two hosts out of service one after the other, with an upgrade of the node between the two calls. It
// returns how many flows reached the second host later than the rule on drains allows.
func maintenance(s *setup) (int, error) {
	s.node.settings = smallSettings("subscribe", drainGrace, serviceType("chat", "repeatable", 3*time.Second, 500*time.Millisecond))
	var entries []entry
	for i := range 4 {
		e, err := s.addHost(fmt.Sprintf("s-%08x", 0x10+i))
		if err != nil {
			return 0, err
		}
		entries = append(entries, e)
	}
	s.discovery.change(entries...)
	known := s.discovery.whole()
	first, err := s.node.start(&known)
	if err != nil {
		return 0, err
	}
	if err := s.node.waitReady(first, 10*time.Second); err != nil {
		return 0, err
	}
	stop := s.stream(request{address: s.node.listen, class: "chat", timeout: 3 * time.Second, late: 500 * time.Millisecond,
		life: 500 * time.Millisecond, every: 100 * time.Millisecond}, 20*time.Millisecond)
	defer stop()
	time.Sleep(time.Second)

	// A host is replaced by another one, as in any release.
	gone := entries[0]
	gone.Status = "DRAINING"
	s.discovery.change(gone)
	time.Sleep(time.Second)
	gone.Status = "DELETED"
	added, err := s.addHost("s-00000014")
	if err != nil {
		return 0, err
	}
	s.discovery.change(gone, added)
	time.Sleep(time.Second)

	// The third host is taken out, and is out while the node is upgraded.
	out, next := entries[2].Name, entries[1].Name
	if status, body := s.node.call(first, http.MethodPut, "/-/hosts/"+out+"/disable"); status != http.StatusOK {
		return 0, fmt.Errorf("the first call was answered %d %s", status, body)
	}
	time.Sleep(time.Second)
	current := first
	if s.trouble {
		known := s.discovery.whole()
		if current, err = s.node.start(&known); err != nil {
			return 0, err
		}
		if err := s.node.waitReady(current, 6*time.Second); err != nil {
			return 0, err
		}
		s.node.signal(first, syscall.SIGTERM)
		select {
		case <-first.ended:
		case <-time.After(3700 * time.Millisecond):
			s.node.signal(first, syscall.SIGKILL)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	if status, body := s.node.call(current, http.MethodPut, "/-/hosts/"+out+"/enable"); status != http.StatusOK {
		return 0, fmt.Errorf("the call back was answered %d %s", status, body)
	}
	time.Sleep(time.Second)

	// The next host is taken out.
	status, body := s.node.call(current, http.MethodPut, "/-/hosts/"+next+"/disable")
	yes := time.Now()
	if status != http.StatusOK {
		return 0, fmt.Errorf("the second call was answered %d %s", status, body)
	}
	time.Sleep(watchFor)
	stop()
	breaks, after := 0, 0
	for _, run := range s.runs.list() {
		if run.first.Before(yes) {
			continue
		}
		if run.host == out {
			after++
		}
		if run.host == next && run.first.After(yes.Add(drainGrace+socketSlack)) {
			breaks++
		}
	}
	s.record.say("after the yes for %s: %d flows reached it later than the grace; %d flows reached %s, which was called back",
		next, breaks, after, out)
	return breaks, nil
}
