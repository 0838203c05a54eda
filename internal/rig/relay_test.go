package rig

import (
	"net"
	"testing"
	"time"
)

// Guards against a stream that stays open during a cut because the relay accepted it just before the cut and registered it only
// afterwards.
func TestStreamAcceptedBeforeCutIsBroken(t *testing.T) {
	to, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	r, err := NewRelay(to.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Set(func(conditions *LinkConditions) { conditions.Cut = true })
	near, accepted := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.stream(accepted) // as if accepted before the cut
	}()
	near.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := near.Read(make([]byte, 1)); err == nil {
		t.Error("read data through a cut link, want an error")
	} else if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatal("the stream is still open after 10 s, want it closed by the cut")
	}
	<-done
}

// Guards against a replay fault that has no effect, or that continues after its end and so affects the rest of the run: the relay
// must resend recorded datagrams only while Replay is above 0.
func TestRelayReplaysDatagramsOnlyWhileSet(t *testing.T) {
	to, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	r, err := NewRelay(to.LocalAddr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	from, err := net.Dial("udp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	buf := make([]byte, 100)
	read := func() string {
		to.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, _, err := to.ReadFrom(buf)
		if err != nil {
			t.Fatal(err)
		}
		return string(buf[:n])
	}
	from.Write([]byte("first"))
	from.Write([]byte("second"))
	if a, b := read(), read(); a != "first" || b != "second" {
		t.Fatalf("received %q and %q, want first and second", a, b)
	}
	r.Set(func(conditions *LinkConditions) { conditions.Replay = 100 })
	for seen := map[string]bool{}; len(seen) < 2; { // both are replayed, in any order
		seen[read()] = true
	}
	r.Set(func(conditions *LinkConditions) { conditions.Replay = 0 })
	from.Write([]byte("third"))
	for read() != "third" { // skips datagrams that were replayed before the reset
	}
}
