package sockets

import (
	"testing"

	"gorseledge/internal/handover"
	"gorseledge/internal/node"
)

func TestStateIsRefusedWhileNothingCanBeHandedOver(t *testing.T) {
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
			if input := s.peerProcessSaid(caller, request); input != nil {
				t.Errorf("the core was given %v", input)
			}
			if answer := <-caller.outgoing; answer.Refusal != handover.RefusalBusy {
				t.Errorf("answered %+v", answer.Message)
			}
			if s.upgrade.successor != c.successor {
				t.Error("the caller has become the successor")
			}
		})
	}
}

func TestConnectionThatCannotBePostedStays(t *testing.T) {
	full := newPeerProcess(nil)
	for full.tryPost(outgoingMessage{}) {
	}
	for name, successor := range map[string]*peerProcess{"no successor": nil, "too many messages wait": full} {
		t.Run(name, func(t *testing.T) {
			s := &server{connections: map[node.ConnID]*connection{1: {}, 2: {}}}
			s.upgrade.successor = successor
			s.sendConnection(node.SendConnection{Conn: 1, Host: 2})
			if len(s.upgrade.unsent) != 1 || s.upgrade.unsent[0] != 1 {
				t.Errorf("unsent: %v", s.upgrade.unsent)
			}
		})
	}
}
