package sockets

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gorseledge/internal/node"
)

// startListening returns a server that accepts clients at a loopback address. Its loop does not run: the test receives the
// accepted clients itself.
func startListening(t *testing.T) *server {
	t.Helper()
	s := newSteppedServer(t, "127.0.0.1:1")
	s.listener.socket = listenLoopback(t)
	s.listener.opened = true
	s.runAccept()
	return s
}

// connectClients connects a number of clients to a server's listener, as connectClient does.
func connectClients(t *testing.T, s *server, count int) {
	t.Helper()
	for range count {
		connectClient(t, s.listener.socket.Addr())
	}
}

// connectClient connects a client that sends a part of a line. It returns once the client is in the listener's queue, or
// accepted.
func connectClient(t *testing.T, address net.Addr) {
	t.Helper()
	client, err := net.DialTCP("tcp", nil, address.(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if _, err := client.Write([]byte("O")); err != nil {
		t.Fatal(err)
	}
	waitUntilAcknowledged(t, client)
}

// waitUntilAcknowledged waits until the other side has acknowledged all bytes, so that its handshake is complete as well.
func waitUntilAcknowledged(t *testing.T, client *net.TCPConn) {
	t.Helper()
	raw, err := client.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	unacknowledged := 1
	for end := time.Now().Add(eventTimeout); unacknowledged > 0; {
		raw.Control(func(fd uintptr) { unacknowledged, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
		if err != nil || time.Now().After(end) {
			t.Fatalf("%d bytes are not acknowledged after %v, error %v", unacknowledged, eventTimeout, err)
		}
	}
}

// receiveClients receives accepted clients, with a pause after each, until the accepting goroutine reports an event. It
// returns how many there were, and the event's input.
func receiveClients(t *testing.T, s *server, pause time.Duration) (clients int, input node.Input) {
	t.Helper()
	for {
		select {
		case client := <-s.listener.accepted:
			client.Close()
			clients++
			time.Sleep(pause)
		case e := <-s.events:
			return clients, e.resolve()
		case <-time.After(eventTimeout):
			t.Fatalf("after %d clients neither a client nor an event within %v", clients, eventTimeout)
		}
	}
}

// queuedClients is how many clients the tests below connect before the listener stops, loopPause how long a busy loop takes
// for each.
const (
	queuedClients = 20
	loopPause     = 2 * time.Millisecond
)

// On a busy machine the loop takes clients more slowly than they connect, and closing the listener resets those that are
// still in its queue. Each of them must reach the loop before the listener is reported as closed.
func TestClosingListenerAcceptsItsQueue(t *testing.T) {
	for name, opened := range map[string]bool{"accepting": true, "accepting has not begun": false} {
		t.Run(name, func(t *testing.T) {
			s := newSteppedServer(t, "127.0.0.1:1")
			s.listener.socket = listenLoopback(t)
			address := s.listener.socket.Addr().String()
			if s.listener.opened = opened; opened {
				s.runAccept()
			}
			connectClients(t, s, queuedClients)
			s.closeListener()
			clients, input := receiveClients(t, s, loopPause)
			if clients != queuedClients || input != (node.ListenerClosed{}) {
				t.Errorf("%d clients and then %#v, want %d and node.ListenerClosed", clients, input, queuedClients)
			}
			if client, err := net.Dial("tcp", address); err == nil {
				client.Close()
				t.Error("the listener is still open")
			}
		})
	}
}

// A predecessor that hands its clients over may have accepted one that its loop does not know yet. If it exits then, that
// client gets no answer. The core learns of the handover only after all accepted clients.
func TestHandoverFollowsAcceptedClients(t *testing.T) {
	s := startListening(t)
	s.upgrade.successor = newPeerProcess(nil)
	connectClients(t, s, 1)
	for end := time.Now().Add(eventTimeout); clientWaits(s.listener.socket); { // until the accepting goroutine has the client
		if time.Now().After(end) {
			t.Fatalf("the client was not accepted within %v", eventTimeout)
		}
	}
	s.handOverClients()
	select {
	case e := <-s.events:
		t.Fatalf("%#v was reported before the client that was accepted", e.resolve())
	case <-time.After(10 * loopPause):
	}
	clients, input := receiveClients(t, s, loopPause)
	if query, ok := input.(node.Query); clients != 1 || !ok || query.Question != node.TakeOver {
		t.Errorf("%d clients and then %#v, want 1 and the query TakeOver", clients, input)
	}
	connectClients(t, s, 1) // for the successor
	select {
	case client := <-s.listener.accepted:
		client.Close()
		t.Error("a client was accepted after the handover")
	case <-time.After(loopPause):
	}
	s.reclaimClients()
	if client := <-s.listener.accepted; client.Close() != nil {
		t.Error("the client that waited was not accepted after the successor's end")
	}
}

// A process that is asked to shut down before it has begun to accept clients could begin after its listener was closed, and
// take clients that it does not answer.
func TestClosedListenerIsNotOpened(t *testing.T) {
	s := newSteppedServer(t, "127.0.0.1:1")
	s.closeListener()
	s.openWithoutPredecessor()
	if s.listener.openPending {
		t.Error("accepting is to begin after the listener was closed")
	}
}

// A process that shuts down could still begin to listen beside the other process of an upgrade, and reject clients that the
// other one would serve.
func TestProcessThatShutsDownDoesNotListen(t *testing.T) {
	s := newSteppedServer(t, "127.0.0.1:1")
	s.beginShutdown()
	socket := listenLoopback(t)
	s.listenOn(socket)
	if s.listener.openPending || socket.Close() == nil {
		t.Errorf("accepting is to begin: %v, or the socket was left open", s.listener.openPending)
	}
}
