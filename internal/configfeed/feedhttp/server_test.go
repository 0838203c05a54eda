package feedhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// A server that does not notice that a client disconnected would keep the client's poll, and its memory, for the rest of
// the wait.
func TestHeldPollEndsWhenItsClientDisconnects(t *testing.T) {
	f := startServers(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	caller := newCaller(&authenticator{fleet: testFleet, keys: testKeys}, nil)
	done := make(chan error, 1)
	go func() {
		_, err := caller.call(ctx, f.writer(), http.MethodPost, pathPoll, []byte(`{"follower":"n1","wait_s":100}`))
		done <- err
	}()
	// While it holds a poll, net/http reads from the connection to notice that the client disconnects.
	eventually(t, "the poll is held", func() bool { return metric(t, f.writer(), "polls_held") == "1" })
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("canceled poll: %v", err)
	}
	eventually(t, "the poll has ended", func() bool { return metric(t, f.writer(), "polls_held") == "0" })
	caller.closeIdle()
}

// A stop that waited for held polls would take as long as the longest one, and the followers would not switch to another
// server. TestMain checks that no goroutine is left.
func TestStopEndsHeldPolls(t *testing.T) {
	f := startServers(t, 1)
	done := make(chan int, 1)
	go func() {
		status, _ := send(t, f.writer(), pathPoll, []byte(`{"follower":"n1","wait_s":100}`))
		done <- status
	}()
	eventually(t, "the poll is held", func() bool { return metric(t, f.writer(), "polls_held") == "1" })
	f.servers[0].stop()
	select {
	case status := <-done:
		if status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want %d", status, http.StatusServiceUnavailable)
		}
	case <-time.After(eventualTimeout):
		t.Error("the poll is still held")
	}
	if conn, err := net.Dial("tcp", f.writer()); err == nil {
		conn.Close()
		t.Error("the stopped server still accepts connections")
	}
}
