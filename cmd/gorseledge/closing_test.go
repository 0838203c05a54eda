package main

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gorseledge/internal/discovery/endpoint"
)

// What is under way in the moment in which the node ends a connection, over loopback. Guards against answers lost
// under a close over unread bytes, first lines taken and lost, and lines passed on after the end.
func TestClosing(t *testing.T) {
	s := start(t, "proxy", 1, 200)
	s.serve(0)
	t.Run("an answer is read, whatever the client says after its line", func(t *testing.T) {
		for range 20 {
			c := s.client()
			c.say("HELLO\r\n" + strings.Repeat("x", 12000))
			c.expect("ERR", "<end>")
		}
	})
	t.Run("who says nothing is told to come again, and what crosses that goes nowhere", func(t *testing.T) {
		c := s.client()
		c.say("PING\r\n")
		c.expect("PONG", "BUSY")
		c.say(first(900)) // the node's sending has ended or is about to
		c.expect("<end>")
		s.logged(`"reason":"checked"`)
	})
	t.Run("a first line a byte at a time", func(t *testing.T) {
		c := s.client()
		for i := range 3 {
			c.say("OPEN"[i : i+1])
			time.Sleep(50 * time.Millisecond) // slow, not a proof of anything
		}
		c.expect("BUSY", "<end>")
	})
	t.Run("a client that goes while it waits for a host that says nothing", func(t *testing.T) {
		s := start(t, "proxy", 2, 200)
		c := s.client()
		c.say(first(60000))
		at := make(chan *peer, 2)
		for i := range s.hosts {
			go func() {
				if got, err := s.hosts[i].Accept(); err == nil {
					at <- s.peer(got)
				}
			}()
		}
		h := <-at
		if got := h.line(); !strings.HasPrefix(got, "OPEN ") {
			t.Fatalf("the host got %q", got)
		}
		c.Close()
		h.expect("<end>") // given up at once, and by then no other host is asked
		s.logged(`"reason":"client-left"`, `"connects":1`)
		select {
		case <-at:
			t.Error("a further host was asked for a client that had left")
		default:
		}
	})
	t.Run("half a line from a host that says no more", func(t *testing.T) {
		s := start(t, "proxy", 1, 200)
		c, h := s.established()
		h.say("M 1\r\nM")
		c.expect("M 1")
		s.signal(syscall.SIGTERM)
		c.expect("MOVE", "<end>")
	})
}

// A host that floods, before its answer or in place of one, costs the flows that meet it a connect; others are served.
func TestFloodingHost(t *testing.T) {
	s := start(t, "proxy", 3, 200)
	s.respond(0, func(string) string { return strings.Repeat("x", 1<<20) })
	s.respond(1, func(string) string { return strings.Repeat("x\r\n", 1<<18) })
	s.serve(2)
	told := map[string]int{}
	for range 40 {
		told[strings.TrimRight(s.ask(), " 0123456789")]++
	}
	if told["UP"] < 20 || told["UP"]+told["BUSY"]+told["ERR"] != 40 {
		t.Errorf("told %v", told)
	}
}

// The list is followed while idle clients hold every descriptor that they can, also from a discovery to which the node
// is sent just then; who has a wish is served. Guards against descriptors that are all with clients when the watch has
// to be opened anew.
func TestListInACrowd(t *testing.T) {
	s := start(t, "proxy", 2, 96)
	for at := range s.hosts {
		s.serve(at)
	}
	stop := make(chan struct{})
	crowd := make(chan error, 1)
	go func() { // they come as fast as they are let in, and stay until they are ended
		var err error
		var in []net.Conn
		for err == nil {
			select {
			case <-stop:
				for _, c := range in {
					c.Close()
				}
				crowd <- nil
				return
			default:
			}
			var c net.Conn
			if c, err = net.Dial("tcp", s.address); err == nil {
				if in = append(in, c); len(in) > 300 {
					in[0].Close()
					in = in[1:]
				}
			}
		}
		crowd <- err
	}()
	s.logged(`"reason":"no-sockets"`)
	next := discovery(t)
	next.Tell(endpoint.List{Index: 7, Complete: true, Hosts: []endpoint.Host{
		{Name: "s-00000064", Address: s.hosts[0].Addr().String(), Status: "DRAINING"},
		{Name: "s-00000065", Address: s.hosts[1].Addr().String(), Status: "SERVING"}}})
	s.roster.Close() // the old one is down, and only then the node is told of the new one
	s.config["discovery"] = next.Address()
	s.configure()
	s.signal(syscall.SIGHUP)
	select {
	case <-next.Asked:
	case <-time.After(6 * time.Second):
		t.Error("the new discovery was not asked within 6 s")
	}
	close(stop)
	if err := <-crowd; err != nil {
		t.Fatal(err)
	}
	if strings.Contains(s.log.text(), `"message":"accept"`) || strings.Contains(s.log.text(), "too many open files") {
		t.Error("no descriptor was left")
	}
}
