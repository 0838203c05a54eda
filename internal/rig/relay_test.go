package rig

import (
	"net"
	"testing"
	"time"
)

// A stream that was accepted before a cut and opened after it does not outlive the cut.
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
