package main

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	holdUp        = 135 * time.Millisecond // for how long the node is held up
	longestHoldUp = 150 * time.Millisecond // that the pages name; what a longer one causes is not counted
	holdUps       = 300
	clientsAtOnce = 10                     // clients that come shortly before the node is held up
	shortTimeout  = 100 * time.Millisecond // the time that a try has left
	mostTries     = 4                      // of one operation: a first one and three retries
)

func init() { cases["holdup"] = holdup }

// pause is a time for which the node was held up.
type pause struct{ began, ended time.Time }

// lengthBefore returns how long the last pause before a time was.
func lengthBefore(pauses []pause, at time.Time) time.Duration {
	length := time.Duration(0)
	for _, p := range pauses {
		if p.began.Before(at) {
			length = p.ended.Sub(p.began)
		}
	}
	return length
}

// operation is what a client of a once-only service type wants done once. A client tries again only after BUSY.
type operation struct{ tries []flow }

// holdup sends once-only flows that have little time left, a few at a time, and holds the node up for a moment. It returns
// to how many tries the node answered BUSY although a host had run them.
func holdup(s *setup) (int, error) {
	s.node.settings = smallSettings("subscribe", drainGrace, serviceType("pay", "once", 3*time.Second, 500*time.Millisecond))
	if err := s.addHosts(4); err != nil {
		return 0, err
	}
	known := s.discovery.whole()
	p, err := s.node.start(&known)
	if err != nil {
		return 0, err
	}
	if err := s.node.waitReady(p, 10*time.Second); err != nil {
		return 0, err
	}
	var (
		mu         sync.Mutex
		operations []operation
		clients    sync.WaitGroup
		pauses     []pause
	)
	for range holdUps {
		for range clientsAtOnce {
			clients.Go(func() {
				o := s.carryOut()
				mu.Lock()
				defer mu.Unlock()
				operations = append(operations, o)
			})
		}
		time.Sleep(time.Duration(400+rand.IntN(1600)) * time.Microsecond)
		if s.trouble {
			began := time.Now()
			s.node.signal(p, syscall.SIGSTOP)
			time.Sleep(holdUp)
			s.node.signal(p, syscall.SIGCONT)
			pauses = append(pauses, pause{began, time.Now()})
		}
		time.Sleep(shortTimeout)
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	ran := map[string]run{}
	for _, r := range s.runs.list() {
		ran[r.id] = r
	}
	answers := map[string]int{}
	tries, breaks, twice := 0, 0, 0
	for number, o := range operations {
		times := 0
		for _, f := range o.tries {
			tries++
			word, _, _ := strings.Cut(f.answer, " ")
			answers[word]++
			r, didRun := ran[f.id]
			if didRun {
				times++
			}
			if didRun && word == "BUSY" && lengthBefore(pauses, r.first) <= longestHoldUp {
				breaks++
				s.record.now("operation %d: try %s ran at host %s at %.4f and was answered %s at %.4f", number, f.id, r.host,
					s.record.since(r.first), f.answer, s.record.since(f.answered))
			}
		}
		if times > 1 {
			twice++
			s.record.now("operation %d ran %d times", number, times)
		}
	}
	s.record.say("%d operations, %d tries, answers %v; %d tries answered BUSY although a host ran them; %d operations ran twice",
		len(operations), tries, answers, breaks, twice)
	return breaks, nil
}

// carryOut is a client that tries again after BUSY, once the time that the node told it is over.
func (s *setup) carryOut() operation {
	var o operation
	for range mostTries {
		f := open(s.record, request{address: s.node.listen, class: "pay", timeout: shortTimeout, late: 500 * time.Millisecond})
		o.tries = append(o.tries, f)
		word, wait, _ := strings.Cut(f.answer, " ")
		if word != "BUSY" {
			break
		}
		ms, _ := strconv.Atoi(wait)
		s.record.now("client %s: tries the operation again in %d ms", f.id, ms)
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	return o
}
