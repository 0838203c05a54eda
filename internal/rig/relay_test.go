package rig

import (
	"net"
	"testing"
	"time"
)

func TestStreamThatOpensWithinACutBreaks(t *testing.T) {
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
	r.Set(func(w *LinkConditions) { w.Cut = true })
	near, accepted := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.stream(accepted) // the relay had accepted it before
	}()
	near.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := near.Read(make([]byte, 1)); err == nil {
		t.Error("something came through the cut")
	} else if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatal("the stream is open")
	}
	<-done
}

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
		t.Fatalf("%s %s", a, b)
	}
	r.Set(func(w *LinkConditions) { w.Replay = 100 })
	for seen := map[string]bool{}; len(seen) < 2; { // both come, in any order
		seen[read()] = true
	}
	r.Set(func(w *LinkConditions) { w.Replay = 0 })
	from.Write([]byte("third"))
	for read() != "third" { // datagrams replayed earlier arrive first
	}
}
