package rig

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// LinkConditions is what becomes of what goes from one process to another.
type LinkConditions struct {
	Cut            bool
	Loss           float64 // part of the datagrams that is lost
	Delay          float64 // seconds, for datagrams and streams
	Jitter         float64 // seconds more at the most, drawn: datagrams overtake one another
	Repeat         float64 // part of the datagrams that comes twice
	Replay         float64 // old datagrams that come again, a second
	BreakAfter     int64   // a stream breaks off after so many bytes; 0 for never
	SecondsPerByte float64 // seconds that a byte of a stream takes
}

// Relay carries what one process sends another, datagrams and streams, by a way that may change at any time.
type Relay struct {
	in         *net.UDPConn
	streams    *net.TCPListener
	to         string // the receiver's own address
	mu         sync.Mutex
	conditions LinkConditions
	rand       *rand.Rand
	conns      map[net.Conn]bool
	recorded   [][]byte // what passed, some of it, to be played again
	passed     int
	closed     chan struct{}
	group      sync.WaitGroup
}

const (
	maxRecordedDatagrams = 256                    // datagrams of a way that are kept to be played again
	replayInterval       = 100 * time.Millisecond // between two lots of old datagrams
)

// NewRelay opens a relay to an address, on one port for both.
func NewRelay(to string, seed uint64) (*Relay, error) {
	for try := 0; ; try++ {
		ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: ln.Addr().(*net.TCPAddr).Port})
		if err != nil {
			ln.Close()
			if try < 20 {
				continue
			}
			return nil, err
		}
		r := &Relay{in: in, streams: ln, to: to, rand: rand.New(rand.NewPCG(seed, 5)), conns: map[net.Conn]bool{},
			closed: make(chan struct{})}
		r.group.Go(r.datagrams)
		r.group.Go(r.accept)
		return r, nil
	}
}

// Address is where the relay takes datagrams and streams, on one port.
func (r *Relay) Address() string { return r.in.LocalAddr().String() }

// Set changes the way; streams that are open break where it is cut.
func (r *Relay) Set(change func(*LinkConditions)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.conditions)
	if r.conditions.Cut {
		for c := range r.conns {
			c.Close()
		}
	}
}

func (r *Relay) datagrams() {
	to, err := net.ResolveUDPAddr("udp", r.to)
	if err != nil {
		return
	}
	out, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return
	}
	defer out.Close()
	var late sync.WaitGroup
	defer late.Wait()
	late.Go(func() { r.replay(out, to) })
	buf := make([]byte, 64<<10)
	for {
		n, err := r.in.Read(buf)
		if err != nil {
			if r.isClosed() {
				return
			}
			continue
		}
		r.mu.Lock()
		r.recordDatagram(buf[:n])
		w := r.conditions
		copies := 1
		if w.Cut || r.rand.Float64() < w.Loss {
			copies = 0
		} else if r.rand.Float64() < w.Repeat {
			copies = 2
		}
		var delays []time.Duration
		for range copies {
			delays = append(delays, time.Duration((w.Delay+w.Jitter*r.rand.Float64())*1e9))
		}
		r.mu.Unlock()
		for _, delay := range delays {
			if delay <= 0 {
				out.WriteToUDP(buf[:n], to)
				continue
			}
			text := append([]byte(nil), buf[:n]...)
			late.Add(1)
			time.AfterFunc(delay, func() {
				defer late.Done()
				out.WriteToUDP(text, to)
			})
		}
	}
}

// isClosed tells whether the relay is closed.
func (r *Relay) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

// recordDatagram notes a datagram that passed, for who has the lock: each has the same chance to be among those that
// are kept.
func (r *Relay) recordDatagram(text []byte) {
	r.passed++
	at := len(r.recorded)
	if at < maxRecordedDatagrams {
		r.recorded = append(r.recorded, nil)
	} else if at = r.rand.IntN(r.passed); at >= maxRecordedDatagrams {
		return
	}
	r.recorded[at] = append([]byte(nil), text...)
}

// replay sends old datagrams again, where the way says so, until the relay is closed.
func (r *Relay) replay(out *net.UDPConn, to *net.UDPAddr) {
	for due := 0.0; ; {
		select {
		case <-time.After(replayInterval):
		case <-r.closed:
			return
		}
		r.mu.Lock()
		var lot [][]byte
		for due += r.conditions.Replay * replayInterval.Seconds(); due >= 1; due-- {
			if len(r.recorded) > 0 && !r.conditions.Cut {
				lot = append(lot, r.recorded[r.rand.IntN(len(r.recorded))])
			}
		}
		r.mu.Unlock()
		for _, text := range lot {
			out.WriteToUDP(text, to)
		}
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.streams.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		cut := r.conditions.Cut || r.isClosed()
		r.mu.Unlock()
		if cut {
			c.Close()
			continue
		}
		r.group.Go(func() { r.stream(c) })
	}
}

func (r *Relay) stream(c net.Conn) {
	far, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		c.Close()
		return
	}
	r.mu.Lock()
	r.conns[c], r.conns[far] = true, true
	if r.isClosed() || r.conditions.Cut { // since it was accepted
		c.Close()
		far.Close()
	}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(far, c) })
	both.Go(func() { r.copy(c, far) })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, far)
	r.mu.Unlock()
}

// copy carries one direction of a stream.
func (r *Relay) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for total := int64(0); ; {
		n, err := from.Read(buf)
		r.mu.Lock()
		w := r.conditions
		r.mu.Unlock()
		if w.BreakAfter > 0 && total+int64(n) >= w.BreakAfter {
			to.Write(buf[:max(w.BreakAfter-total, 0)])
			return
		}
		if wait := w.Delay + w.SecondsPerByte*float64(n); wait > 0 && n > 0 {
			time.Sleep(time.Duration(wait * 1e9))
		}
		total += int64(n)
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}

// Close ends the relay and waits until nothing of it runs.
func (r *Relay) Close() {
	r.mu.Lock()
	close(r.closed)
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.in.Close()
	r.streams.Close()
	r.group.Wait()
}
