package rig

import (
	"net"
	"slices"
	"sync"
	"time"
)

// forwardDatagrams forwards datagrams until the relay is closed, and then waits until the delayed ones are sent.
func (r *Relay) forwardDatagrams() {
	to, err := net.ResolveUDPAddr("udp", r.to)
	if err != nil {
		return
	}
	out, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return
	}
	defer out.Close()
	var pending sync.WaitGroup
	defer pending.Wait()
	pending.Go(func() { r.replay(out, to) })
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, err := r.in.Read(buffer)
		if err != nil && r.isClosed() {
			return
		}
		if err != nil {
			continue
		}
		datagram := buffer[:size]
		for _, delay := range r.receive(datagram) {
			sendAfter(&pending, delay, datagram, func(text []byte) { out.WriteToUDP(text, to) })
		}
	}
}

// receive records a datagram and returns the delays of the copies to forward. It returns none if the datagram is dropped.
func (r *Relay) receive(datagram []byte) (delays []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordDatagram(datagram)
	for range r.copies() {
		seconds := r.conditions.Delay + r.conditions.Jitter*r.rand.Float64()
		delays = append(delays, time.Duration(seconds*1e9))
	}
	return delays
}

// copies returns how many copies of the next datagram to forward. The caller holds mu.
func (r *Relay) copies() int {
	if r.conditions.Cut || r.rand.Float64() < r.conditions.Loss {
		return 0
	}
	if r.rand.Float64() < r.conditions.Repeat {
		return 2
	}
	return 1
}

// sendAfter sends a datagram after a delay, or at once if the delay is 0. A delayed datagram is copied and counted as
// pending until it is sent.
func sendAfter(pending *sync.WaitGroup, delay time.Duration, datagram []byte, send func([]byte)) {
	if delay <= 0 {
		send(datagram)
		return
	}
	text := slices.Clone(datagram)
	pending.Add(1)
	time.AfterFunc(delay, func() {
		defer pending.Done()
		send(text)
	})
}

// recordDatagram adds a datagram to the sample for replay (reservoir sampling: each datagram so far is in the sample
// with the same probability). The caller holds mu.
func (r *Relay) recordDatagram(datagram []byte) {
	r.passed++
	if len(r.recorded) < maxRecordedDatagrams {
		r.recorded = append(r.recorded, slices.Clone(datagram))
		return
	}
	i := r.rand.IntN(r.passed)
	if i < maxRecordedDatagrams {
		r.recorded[i] = slices.Clone(datagram)
	}
}

// replay sends recorded datagrams again at the rate of the conditions, until the relay is closed.
func (r *Relay) replay(out *net.UDPConn, to *net.UDPAddr) {
	due := 0.0 // datagrams to send, with the fraction left from earlier batches
	for {
		select {
		case <-time.After(replayInterval):
		case <-r.closed:
			return
		}
		var batch [][]byte
		batch, due = r.replayBatch(due)
		for _, datagram := range batch {
			out.WriteToUDP(datagram, to)
		}
	}
}

// replayBatch selects the datagrams to send again after one interval, at random. due is the number of datagrams left from
// earlier intervals, and left is the one for the next interval. While the link is cut, due datagrams are dropped.
func (r *Relay) replayBatch(due float64) (batch [][]byte, left float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	due += r.conditions.Replay * replayInterval.Seconds()
	for ; due >= 1; due-- {
		if len(r.recorded) > 0 && !r.conditions.Cut {
			batch = append(batch, r.recorded[r.rand.IntN(len(r.recorded))])
		}
	}
	return batch, due
}
