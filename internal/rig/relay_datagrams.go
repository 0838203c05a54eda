package rig

import (
	"net"
	"slices"
	"sync"
	"time"
)

// forwardDatagrams forwards datagrams and replays recorded ones until the relay is closed. It returns after all delayed
// datagrams have been sent. If the receiver's address is invalid or no socket can be opened, it returns at once, and the relay
// forwards no datagrams.
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
		for _, delay := range r.scheduleCopies(datagram) {
			sendAfter(&pending, delay, datagram, func(payload []byte) { out.WriteToUDP(payload, to) })
		}
	}
}

// scheduleCopies records a received datagram and returns the delay of each copy to forward, or none if the datagram is
// dropped. Dropped datagrams are recorded too, so that replay may send them later.
func (r *Relay) scheduleCopies(datagram []byte) (delays []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordDatagram(datagram)
	for range r.copyCount() {
		seconds := r.conditions.Delay + r.conditions.Jitter*r.rand.Float64()
		delays = append(delays, time.Duration(seconds*1e9))
	}
	return delays
}

// copyCount returns how many copies of the next datagram to forward, using up to two random numbers. The caller holds mu.
func (r *Relay) copyCount() int {
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
	payload := slices.Clone(datagram)
	pending.Add(1)
	time.AfterFunc(delay, func() {
		defer pending.Done()
		send(payload)
	})
}

// recordDatagram adds a datagram to the sample for replay (reservoir sampling: each datagram so far is in the sample
// with the same probability). The caller holds mu.
func (r *Relay) recordDatagram(datagram []byte) {
	r.receivedCount++
	if len(r.recorded) < maxRecordedDatagrams {
		r.recorded = append(r.recorded, slices.Clone(datagram))
		return
	}
	i := r.rand.IntN(r.receivedCount)
	if i < maxRecordedDatagrams {
		r.recorded[i] = slices.Clone(datagram)
	}
}

// replay resends randomly chosen recorded datagrams, conditions.Replay per second, until the relay is closed.
func (r *Relay) replay(out *net.UDPConn, to *net.UDPAddr) {
	due := 0.0 // number of datagrams to resend; the fraction carries over to the next batch
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

// replayBatch picks random recorded datagrams to resend for one interval. due is the fraction of a datagram carried over from
// earlier intervals, and remainder is the fraction for the next interval. While the link is cut or nothing is recorded yet, the
// due datagrams are skipped.
func (r *Relay) replayBatch(due float64) (batch [][]byte, remainder float64) {
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
