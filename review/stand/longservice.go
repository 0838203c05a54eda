package main

import (
	"bufio"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	connectTimeout  = 1800 * time.Millisecond // of the service type live-listen
	longestTimeout  = 3 * time.Second         // of any service type
	answerSlack     = 500 * time.Millisecond  // an answer that is later than this after the client's time counts as lost
	comesOnFor      = 300 * time.Millisecond  // new connections go on coming after SIGTERM
	killAfter       = longestTimeout + 700*time.Millisecond
	historyClients  = 20     // clients at the same time while the history is made
	historyLength   = 600000 // connections; HISTORY=N replaces it
	longestHistory  = 80 * time.Second
	standingClients = 150
)

func init() { cases["longservice"] = longService }

// longService lets a node serve many connections that come and go, a few at a time, and then restarts it as planned. It
// returns how many of the flows that came around the SIGTERM got no answer in time.
func longService(s *setup) (int, error) {
	s.node.settings = smallSettings("subscribe", drainGrace,
		serviceType("live-listen", "repeatable", connectTimeout, 300*time.Millisecond),
		serviceType("feed-watch", "repeatable", longestTimeout, 500*time.Millisecond))
	if err := s.addHosts(6); err != nil {
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
	length := historyLength
	if text := os.Getenv("HISTORY"); text != "" {
		if length, err = strconv.Atoi(text); err != nil {
			return 0, err
		}
	}
	served := s.history(length)
	time.Sleep(2 * time.Second)

	standing := sync.WaitGroup{}
	for range standingClients {
		standing.Go(func() {
			open(s.record, request{address: s.node.listen, class: "live-listen", timeout: connectTimeout, late: answerSlack,
				life: 10 * time.Second, every: 2 * time.Second})
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)

	var (
		mu      sync.Mutex
		flows   []flow
		clients sync.WaitGroup
	)
	term := time.Now().Add(time.Second)
	comeUntil := func(end time.Time) {
		for time.Now().Before(end) {
			clients.Go(func() {
				f := open(s.record, request{address: s.node.listen, class: "live-listen", timeout: connectTimeout, late: answerSlack})
				mu.Lock()
				defer mu.Unlock()
				flows = append(flows, f)
			})
			time.Sleep(20 * time.Millisecond)
		}
	}
	comeUntil(term)
	if s.trouble {
		s.node.signal(p, syscall.SIGTERM)
	}
	comeUntil(term.Add(comesOnFor))
	clients.Wait()
	if s.trouble {
		select {
		case <-p.ended:
		case <-time.After(time.Until(term.Add(killAfter))):
			s.node.signal(p, syscall.SIGKILL)
		}
	}
	standing.Wait()
	answers := map[string]int{}
	lost := 0
	for _, f := range flows {
		word, _, _ := strings.Cut(f.answer, " ")
		if f.sent.IsZero() {
			word = "no connection"
		} else if f.answer == "" {
			lost++
			word = "none"
		}
		answers[word]++
	}
	s.record.say("%d connections before; flows around the SIGTERM: %v; %d got no answer within their time and %v", served, answers,
		lost, answerSlack)
	return lost, nil
}

// history has clients come and go until so many connections were served, and returns how many were.
func (s *setup) history(length int) int64 {
	var count, served atomic.Int64
	var clients sync.WaitGroup
	began := time.Now()
	for range historyClients {
		clients.Go(func() {
			for time.Since(began) < longestHistory {
				number := count.Add(1)
				if number > int64(length) {
					return
				}
				if s.visit(number) {
					served.Add(1)
				}
			}
		})
	}
	clients.Wait()
	s.record.now("%d clients were served and left, within %v", served.Load(), time.Since(began))
	return served.Load()
}

// visit asks whether the node is ready, as a front does, and leaves. Visits come from many loopback addresses in turn, as a
// port is not free again at once.
func (s *setup) visit(number int64) bool {
	from := net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+number%200))}
	dialer := net.Dialer{LocalAddr: &from, Timeout: 5 * time.Second}
	c, err := dialer.Dial("tcp", s.node.listen)
	if err != nil {
		time.Sleep(time.Millisecond)
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, "PING\r\n")
	in := bufio.NewReader(c)
	answer, err := in.ReadString('\n')
	if err != nil || !strings.HasPrefix(answer, "PONG") {
		return false
	}
	c.(*net.TCPConn).CloseWrite()
	io.Copy(io.Discard, in)
	return true
}
