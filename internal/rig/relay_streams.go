package rig

import (
	"net"
	"sync"
	"time"
)

// accept accepts and forwards streams until the relay is closed. While the link is cut, it closes accepted streams.
func (r *Relay) accept() {
	for {
		connection, err := r.streams.Accept()
		if err != nil {
			return
		}
		if r.isCut() {
			connection.Close()
			continue
		}
		r.group.Go(func() { r.stream(connection) })
	}
}

// isCut reports whether the link is cut or the relay is closed.
func (r *Relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conditions.Cut || r.isClosed()
}

// stream forwards an accepted stream in both directions until it ends.
func (r *Relay) stream(accepted net.Conn) {
	dialled, err := net.DialTimeout("tcp", r.to, streamDialTimeout)
	if err != nil {
		accepted.Close()
		return
	}
	r.addStream(accepted, dialled)
	defer r.removeStream(accepted, dialled)
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(dialled, accepted) })
	directions.Go(func() { r.copy(accepted, dialled) })
	directions.Wait()
}

// addStream registers both ends of a stream. It closes them if the link was cut or the relay closed since the stream was
// accepted.
func (r *Relay) addStream(accepted, dialled net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[accepted] = true
	r.connections[dialled] = true
	if r.isClosed() || r.conditions.Cut {
		accepted.Close()
		dialled.Close()
	}
}

func (r *Relay) removeStream(accepted, dialled net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, accepted)
	delete(r.connections, dialled)
}

// currentConditions returns the present conditions of the link.
func (r *Relay) currentConditions() LinkConditions {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conditions
}

// copy forwards one direction of a stream and closes both ends when it ends or breaks.
func (r *Relay) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, streamBufferBytes)
	total := int64(0)
	for {
		size, readErr := from.Read(buffer)
		conditions := r.currentConditions()
		if conditions.BreakAfter > 0 && total+int64(size) >= conditions.BreakAfter {
			to.Write(buffer[:max(conditions.BreakAfter-total, 0)])
			return
		}
		wait := conditions.Delay + conditions.SecondsPerByte*float64(size)
		if wait > 0 && size > 0 {
			time.Sleep(time.Duration(wait * 1e9))
		}
		total += int64(size)
		_, writeErr := to.Write(buffer[:size])
		if writeErr != nil || readErr != nil {
			return
		}
	}
}
