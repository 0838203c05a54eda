package feedhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestHeldPollEndsWhenItsClientGoes(t *testing.T) {
	f := startServers(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	caller := newCaller(&authenticator{fleet: testFleet, keys: testKeys}, nil)
	done := make(chan error, 1)
	go func() {
		_, err := caller.call(ctx, f.writer(), http.MethodPost, pathPoll, []byte(`{"follower":"n1","wait_s":100}`))
		done <- err
	}()
	// While the poll is held the server reads from the connection to notice that the client goes.
	eventually(t, "the poll is held", func() bool { return metric(t, f.writer(), "polls_held") == "1" })
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	eventually(t, "the poll has ended", func() bool { return metric(t, f.writer(), "polls_held") == "0" })
	caller.closeIdle()
}

// A stop ends held polls at once. TestMain checks that no goroutine is left.
func TestStopEndsHeldPolls(t *testing.T) {
	f := startServers(t, 1)
	done := make(chan int, 1)
	go func() {
		status, _ := send(t, f.writer(), pathPoll, []byte(`{"follower":"n1","wait_s":100}`))
		done <- status
	}()
	eventually(t, "the poll is held", func() bool { return metric(t, f.writer(), "polls_held") == "1" })
	f.all[0].stop()
	select {
	case status := <-done:
		if status != http.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
	case <-time.After(eventualTimeout):
		t.Error("the poll is still held")
	}
	if conn, err := net.Dial("tcp", f.writer()); err == nil {
		conn.Close()
		t.Error("the address is still open")
	}
}
