package sockets

import (
	"os"
	"time"

	"gorseledge/internal/node"
)

// loop passes inputs to the core until the core asks the process to exit, in which case it returns errDone, or until the
// context ends. It then closes all connections and listeners.
func (s *server) loop(shutdown <-chan os.Signal) error {
	defer s.closeAll()
	for {
		if !s.applyDeferred() {
			return errDone
		}
		input, err := s.nextInput(shutdown)
		if err != nil {
			return err
		}
		if input != nil && !s.apply(input) {
			return errDone
		}
	}
}

// applyDeferred opens the listener if that is due, and notifies the core of connections that could not be sent to the
// successor. It returns false if the process is to exit.
func (s *server) applyDeferred() bool {
	if s.listener.openPending {
		s.listener.openPending = false
		s.startAccepting()
		if !s.apply(node.ListenerOpened{Replaces: s.listener.steering.active()}) {
			return false
		}
	}
	for ; len(s.upgrade.unsent) > 0; s.upgrade.unsent = s.upgrade.unsent[1:] {
		if !s.apply(node.ConnectionSent{Conn: s.upgrade.unsent[0]}) {
			return false
		}
	}
	return true
}

// nextInput waits for the next event, client, query, timer or signal. The input is nil if the core need not know of it; the
// error is the context's. What has a deadline comes first, then results that a client or the node itself waits for, and then
// by turns new clients and the lines of established connections.
func (s *server) nextInput(shutdown <-chan os.Signal) (node.Input, error) {
	now := time.Now()
	s.turns.update(now, len(s.lineEvents))
	s.core.SetSaturated(s.turns.saturatedFor(now))
	if !s.turns.lowPriorityDue() {
		if input, found, err := s.pollUrgent(shutdown); found {
			s.turns.urgentInARow++
			return input, err
		}
	}
	s.turns.urgentInARow = 0
	if input, found := s.pollLowPriority(); found {
		return input, nil
	}
	return s.waitForInput(shutdown)
}

// pollUrgent returns the next input that has a deadline, or that a client or the node itself waits for. It returns false if
// there is none at the moment.
func (s *server) pollUrgent(shutdown <-chan os.Signal) (input node.Input, found bool, err error) {
	select {
	case <-s.ctx.Done():
		return nil, true, s.ctx.Err()
	case <-shutdown:
		return s.beginShutdown(), true, nil
	case <-s.timer.C:
		return node.TimerFired{}, true, nil
	case q := <-s.queries:
		return s.handleQuery(q), true, nil
	default:
	}
	select {
	case e := <-s.events:
		return e.resolve(), true, nil
	default:
		return nil, false, nil
	}
}

// pollLowPriority returns a new client or the result of a read or a write with a low priority, each of them as often as the
// other. It returns false if there is none at the moment.
func (s *server) pollLowPriority() (input node.Input, found bool) {
	select {
	case socket := <-s.listener.accepted:
		return s.acceptConnection(socket), true
	case e := <-s.turns.admit(s.lineEvents):
		return e.resolve(), true
	case <-s.turns.restTimer():
		s.turns.continueRest(time.Now(), len(s.lineEvents))
		return nil, true
	default:
		return nil, false
	}
}

// waitForInput waits for the next input of any kind.
func (s *server) waitForInput(shutdown <-chan os.Signal) (node.Input, error) {
	began := time.Now()
	defer func() { s.turns.waited(began, time.Now()) }()
	select {
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	case <-shutdown:
		return s.beginShutdown(), nil
	case <-s.timer.C:
		return node.TimerFired{}, nil
	case q := <-s.queries:
		return s.handleQuery(q), nil
	case e := <-s.events:
		return e.resolve(), nil
	case socket := <-s.listener.accepted:
		return s.acceptConnection(socket), nil
	case e := <-s.turns.admit(s.lineEvents):
		return e.resolve(), nil
	case <-s.turns.restTimer():
		s.turns.continueRest(time.Now(), len(s.lineEvents))
		return nil, nil
	}
}

// handleQuery returns an operator's query as an input, whose reply goes to the caller.
func (s *server) handleQuery(q query) node.Input {
	s.queryReply = q.reply
	return q.Query
}

// apply passes one input to the core and carries out the effects. It then passes on the inputs that those effects caused
// at once, in order. It returns false if the process is to exit.
func (s *server) apply(input node.Input) bool {
	s.pending = s.pending[:0]
	for next := 0; ; next++ {
		for _, effect := range s.core.Apply(s.clock.now(), input) {
			if !s.perform(effect) {
				return false
			}
		}
		if next == len(s.pending) {
			return true
		}
		input = s.pending[next]
	}
}
