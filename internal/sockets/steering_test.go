package sockets

import (
	"bytes"
	"net"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// listenBeside lets other processes share the address of a listener, and listens on it once more.
func listenBeside(t *testing.T, first *net.TCPListener) *net.TCPListener {
	t.Helper()
	shareAddress(first)
	socket := listenShared(t.Context(), first.Addr().String())
	t.Cleanup(func() { socket.Close() })
	return socket
}

// connectAndCount connects a number of clients to an address and returns how many of them each listener got.
func connectAndCount(t *testing.T, clients int, listeners ...*net.TCPListener) []int {
	t.Helper()
	for range clients {
		connectClient(t, listeners[0].Addr())
	}
	counts := make([]int, len(listeners))
	for i, listener := range listeners {
		for clientWaits(listener) {
			client, err := listener.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			client.Close()
			counts[i]++
		}
	}
	return counts
}

// requireCounts fails the test unless the clients that connect now are distributed over the listeners as wanted.
func requireCounts(t *testing.T, when string, listeners []*net.TCPListener, want ...int) {
	t.Helper()
	clients := 0
	for _, count := range want {
		clients += count
	}
	if got := connectAndCount(t, clients, listeners...); !slices.Equal(got, want) {
		t.Fatalf("%s: the listeners got %v clients, want %v", when, got, want)
	}
}

// The kernel gives a process that is about to exit a share of the new clients, as long as it listens. Once another process
// has directed them to itself, it alone must get them, and the first process gets them again if the other one ends.
func TestSteeringDirectsNewClients(t *testing.T) {
	first := listenLoopback(t)
	second := listenBeside(t, first)
	both := []*net.TCPListener{first, second}
	var s steering
	if err := s.steerHere(second); err != nil {
		t.Fatal(err)
	}
	requireCounts(t, "directed to the second", both, 0, 40)
	if steered, err := s.steerBack(second); !steered || err != nil {
		t.Fatalf("directed back: %v, error %v; want true and none", steered, err)
	}
	requireCounts(t, "directed back to the first", both, 40, 0)
	if err := s.steerHere(second); err != nil {
		t.Fatal(err)
	}
	second.Close()
	requireCounts(t, "after the second has ended", both[:1], 40)
}

// After an upgrade the successor is the only one to listen, and the program that it attached is still in effect. It must get
// all clients then, and the next successor after it.
func TestSteeringOverTwoUpgrades(t *testing.T) {
	first := listenLoopback(t)
	second := listenBeside(t, first)
	var s, next steering
	if err := s.steerHere(second); err != nil {
		t.Fatal(err)
	}
	first.Close()
	requireCounts(t, "after the first has ended", []*net.TCPListener{second}, 40)
	third := listenBeside(t, second)
	if err := next.steerHere(third); err != nil {
		t.Fatal(err)
	}
	requireCounts(t, "after the next upgrade", []*net.TCPListener{second, third}, 0, 40)
	if steered, err := s.steerBack(second); steered || err != nil {
		t.Fatalf("the second directed clients back: %v, error %v; want false, as its predecessor has ended", steered, err)
	}
}

// A third process can start before the first has ended. The newest one gets the clients, and no index may point at a socket
// that does not exist.
func TestSteeringOfThreeListeners(t *testing.T) {
	first := listenLoopback(t)
	second := listenBeside(t, first)
	third := listenBeside(t, first)
	var s steering
	if err := s.steerHere(third); err != nil {
		t.Fatal(err)
	}
	requireCounts(t, "directed to the third", []*net.TCPListener{first, second, third}, 0, 0, 40)
	if steered, err := s.steerBack(third); !steered || err != nil {
		t.Fatalf("directed back: %v, error %v; want true and none", steered, err)
	}
	requireCounts(t, "directed back", []*net.TCPListener{first, second, third}, 0, 40, 0)
	if err := s.steerHere(third); err != nil {
		t.Fatal(err)
	}
	first.Close()
	if counts := connectAndCount(t, 40, second, third); counts[0]+counts[1] != 40 {
		t.Fatalf("after the first has ended: the listeners got %v clients, want 40 together", counts)
	}
}

// A process that listens alone must not attach anything, so that its address stays as the kernel serves it by default.
func TestSteeringAloneDoesNothing(t *testing.T) {
	socket := listenLoopback(t)
	var s steering
	if err := s.steerHere(socket); err != nil || len(s.others) != 0 {
		t.Errorf("others %v, error %v; want none", s.others, err)
	}
	if steered, err := s.steerBack(socket); steered || err != nil {
		t.Errorf("directed back: %v, error %v; want false and none", steered, err)
	}
}

// A kernel that refuses the program, or a socket whose address is not shared, must yield an error, so that the process logs
// that the other one still gets clients.
func TestSteeringReportsRefusal(t *testing.T) {
	if err := attachIndex(listenLoopback(t), 1); err == nil {
		t.Error("no error although the address is not shared")
	}
	socket := listenLoopback(t)
	socket.Close()
	var s steering
	if err := s.steerHere(socket); err == nil {
		t.Error("no error for a closed socket")
	}
}

// A process that gave up if the kernel refuses to direct connections could not replace the other one at all. It accepts its
// share of them, logs why it gets no more, and does not delay its readiness.
func TestRefusedSteeringStillAccepts(t *testing.T) {
	first := listenLoopback(t)
	second := listenBeside(t, first)
	lockFilter(t, second)
	s := newSteppedServer(t, "127.0.0.1:1")
	var log bytes.Buffer
	s.log = zerolog.New(&log)
	s.listenOn(second)
	if !s.listener.openPending || s.listener.steering.active() {
		t.Errorf("accepting is to begin: %v, connections directed: %v; want true and false", s.listener.openPending, s.listener.steering.active())
	}
	if !strings.Contains(log.String(), "new clients not directed to this process alone") || !strings.Contains(log.String(), "setsockopt") {
		t.Errorf("log %q, want a line with the reason", log.String())
	}
	if counts := connectAndCount(t, 40, first, second); counts[0]+counts[1] != 40 || counts[0] == 0 {
		t.Errorf("the listeners got %v clients, want 40 together, not all of them at the second", counts)
	}
	s.beginShutdown()
	if strings.Contains(log.String(), "directed back") {
		t.Errorf("log %q, want nothing about connections that were not directed", log.String())
	}
}

// lockFilter has the kernel refuse every program for a socket.
func lockFilter(t *testing.T, socket *net.TCPListener) {
	t.Helper()
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var lockErr error
	err = raw.Control(func(fd uintptr) { lockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_LOCK_FILTER, 1) })
	if err != nil || lockErr != nil {
		t.Fatal(err, lockErr)
	}
}
