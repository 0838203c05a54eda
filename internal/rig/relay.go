package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// LinkConditions are the faults of a link between two processes. The zero value describes a link without faults.
type LinkConditions struct {
	Cut            bool    // all datagrams are dropped, and streams are closed
	Loss           float64 // share of the datagrams that is dropped, 0 to 1
	Delay          float64 // seconds by which datagrams and streams are delayed
	Jitter         float64 // upper bound of a random further delay of datagrams, in seconds; it reorders them
	Repeat         float64 // share of the datagrams that is forwarded twice, 0 to 1
	Replay         float64 // number of recorded datagrams resent per second
	BreakAfter     int64   // bytes in one direction after which the relay closes the stream; 0 for never
	SecondsPerByte float64 // time that a byte of a stream takes, in seconds
}

const (
	relayRandomStream    = 5        // separates the random numbers of relays from others of the same seed
	relayPortAttempts    = 20       // further attempts, after the first, to find a port that is free for both TCP and UDP
	maxDatagramBytes     = 64 << 10 // size of the buffer for a received datagram
	streamBufferBytes    = 16 << 10 // size of the buffer for one direction of a stream
	streamDialTimeout    = time.Second
	maxRecordedDatagrams = 256                    // datagrams of a link that are kept for replay
	replayInterval       = 100 * time.Millisecond // interval between batches of replayed datagrams
)

// Relay forwards datagrams and streams to one address, with the faults of its conditions, which may change at any time. It
// owns its sockets and goroutines, which end with Close. Use NewRelay; the zero value is not usable. The methods are safe for
// concurrent use, but Close may be called only once.
type Relay struct {
	in      *net.UDPConn
	streams *net.TCPListener
	to      string        // the receiver's own address
	closed  chan struct{} // closed by Close
	group   sync.WaitGroup

	mu          sync.Mutex // protects the fields below
	conditions  LinkConditions
	rand        *rand.Rand
	connections map[net.Conn]bool // both ends of each open stream
	recorded    [][]byte          // a random sample of the received datagrams, for replay
	// receivedCount is the number of datagrams received so far, including those that were dropped.
	receivedCount int
}

// NewRelay opens a relay to an address. The relay accepts datagrams and streams on one loopback port.
func NewRelay(to string, seed uint64) (*Relay, error) {
	streams, in, err := listenOnOnePort()
	if err != nil {
		return nil, fmt.Errorf("opening a relay to %s: %w", to, err)
	}
	r := &Relay{
		in:          in,
		streams:     streams,
		to:          to,
		closed:      make(chan struct{}),
		rand:        rand.New(rand.NewPCG(seed, relayRandomStream)),
		connections: map[net.Conn]bool{},
	}
	r.group.Go(r.forwardDatagrams)
	r.group.Go(r.accept)
	return r, nil
}

// listenOnOnePort opens a TCP and a UDP socket on the same loopback port.
func listenOnOnePort() (*net.TCPListener, *net.UDPConn, error) {
	loopback := net.IPv4(127, 0, 0, 1)
	for attempt := 0; ; attempt++ {
		streams, err := net.ListenTCP("tcp", &net.TCPAddr{IP: loopback})
		if err != nil {
			return nil, nil, err
		}
		port := streams.Addr().(*net.TCPAddr).Port
		in, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback, Port: port})
		if err == nil {
			return streams, in, nil
		}
		streams.Close()
		if attempt >= relayPortAttempts {
			return nil, nil, err
		}
	}
}

// Address returns the address on which the relay accepts datagrams and streams.
func (r *Relay) Address() string { return r.in.LocalAddr().String() }

// Set calls a function that changes the conditions. If the changed conditions cut the link, its open streams are closed.
func (r *Relay) Set(change func(*LinkConditions)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.conditions)
	if r.conditions.Cut {
		r.closeStreams()
	}
}

// Close ends the relay and waits until its goroutines have ended.
func (r *Relay) Close() {
	r.mu.Lock()
	close(r.closed)
	r.closeStreams()
	r.mu.Unlock()
	r.in.Close()
	r.streams.Close()
	r.group.Wait()
}

// closeStreams closes all open streams. The caller holds mu.
func (r *Relay) closeStreams() {
	for connection := range r.connections {
		connection.Close()
	}
}

// isClosed reports whether Close was called.
func (r *Relay) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}
