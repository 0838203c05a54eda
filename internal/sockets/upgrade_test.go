package sockets

import (
	"testing"

	"gorseledge/internal/handover"
	"gorseledge/internal/node"
)

// A process that does not accept clients yet, or already hands over to a successor, would hand over the same clients
// twice or none at all. It refuses a request for its state as busy, and the caller does not become its successor.
func TestStateIsRefusedWhileHandoverIsImpossible(t *testing.T) {
	for _, c := range []struct {
		name      string
		opened    bool
		successor *peerProcess
	}{
		{"before clients are accepted", false, nil},
		{"while another successor takes over", true, newPeerProcess(nil)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &server{}
			s.listener.opened = c.opened
			s.upgrade.successor = c.successor
			caller := newPeerProcess(nil)
			request := incomingMessage{Message: handover.Message{Request: handover.RequestState}}
			if input := s.handlePeerMessage(caller, request); input != nil {
				t.Errorf("input %v for the core, want none", input)
			}
			if answer := <-caller.outgoing; answer.Refusal != handover.RefusalBusy {
				t.Errorf("answered %+v, want the refusal %q", answer.Message, handover.RefusalBusy)
			}
			if s.upgrade.successor != c.successor {
				t.Error("the caller became the successor")
			}
		})
	}
}

// A connection that cannot be queued for the successor must be reported to the core as not sent. Otherwise no process
// would serve it any longer.
func TestConnectionThatCannotBeQueuedIsReported(t *testing.T) {
	full := newPeerProcess(nil)
	for full.tryPost(outgoingMessage{}) {
	}
	for name, successor := range map[string]*peerProcess{"no successor": nil, "full queue": full} {
		t.Run(name, func(t *testing.T) {
			s := &server{connections: map[node.ConnID]*connection{1: {}, 2: {}}}
			s.upgrade.successor = successor
			s.sendConnection(node.SendConnection{Conn: 1, Host: 2})
			if len(s.upgrade.unsent) != 1 || s.upgrade.unsent[0] != 1 {
				t.Errorf("unsent connections %v, want only 1", s.upgrade.unsent)
			}
		})
	}
}
