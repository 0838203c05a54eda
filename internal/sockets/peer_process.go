package sockets

import (
	"context"
	"net"

	"gorseledge/internal/handover"
	"gorseledge/internal/node"
)

// maxWaitingMessages is how many messages may wait for the other process; one that does not read them is given up.
const maxWaitingMessages = 1024

// peerProcess is another process of this node: the predecessor, the successor or one that only asked.
type peerProcess struct {
	link     *handover.Link
	outgoing chan outgoingMessage
}

// outgoingMessage is a message with the sockets that go along: the clients' listener, or a transferred connection's.
type outgoingMessage struct {
	handover.Message
	listener     *net.TCPListener // nil for none
	conn         node.ConnID      // of a transfer
	client, host *net.TCPConn     // of a transfer
}

// incomingMessage is a message with the sockets that came along with a transfer.
type incomingMessage struct {
	handover.Message
	client, host *net.TCPConn
}

func newPeerProcess(link *handover.Link) *peerProcess {
	return &peerProcess{link: link, outgoing: make(chan outgoingMessage, maxWaitingMessages)}
}

// post sends a message after those posted before. A process that does not read is given up, so that it holds nobody up.
// A nil peer process takes no messages.
func (p *peerProcess) post(m outgoingMessage) {
	if p != nil && !p.tryPost(m) {
		p.link.Close()
	}
}

// tryPost gives false where too many messages wait already.
func (p *peerProcess) tryPost(m outgoingMessage) bool {
	select {
	case p.outgoing <- m:
		return true
	default:
		return false
	}
}

// send writes a message, after the sockets that go along.
func (p *peerProcess) send(m outgoingMessage) error {
	if err := p.sendSockets(m); err != nil {
		return err
	}
	return p.link.Send(m.Message)
}

func (p *peerProcess) sendSockets(m outgoingMessage) error {
	switch {
	case m.listener != nil:
		return p.link.SendSockets(m.listener)
	case m.Transfer != nil:
		return p.link.SendSockets(m.client, m.host)
	}
	return nil
}

// receive reads a message and the sockets that came along.
func (p *peerProcess) receive() (incomingMessage, error) {
	message, err := p.link.Receive()
	if err != nil {
		return incomingMessage{}, err
	}
	m := incomingMessage{Message: message}
	if m.Transfer == nil {
		return m, nil
	}
	if m.client, err = p.link.Conn(); err != nil {
		return incomingMessage{}, err
	}
	if m.host, err = p.link.Conn(); err != nil {
		m.client.Close()
		return incomingMessage{}, err
	}
	return m, nil
}

// attend reads from and writes to a peer process until one side is gone.
func (s *server) attend(p *peerProcess) {
	stop := context.AfterFunc(s.ctx, p.link.Close)
	ended := make(chan struct{})
	s.group.Go(func() error {
		s.sendPosted(p, ended)
		return nil
	})
	s.group.Go(func() error {
		defer stop()
		defer close(ended)
		defer p.link.CloseReceived()
		defer p.link.Close()
		s.receiveAll(p)
		return nil
	})
}

// sendPosted sends what is posted to a peer process until it has ended, and tells the core about transfers.
func (s *server) sendPosted(p *peerProcess, ended <-chan struct{}) {
	for {
		select {
		case m := <-p.outgoing:
			err := p.send(m)
			if err != nil {
				p.link.Close()
			}
			if m.Transfer != nil {
				s.send(node.ConnectionSent{Conn: m.conn, OK: err == nil})
			}
		case <-ended:
			return
		}
	}
}

// receiveAll hands what a peer process sends to the loop, in its order, and at last that it is gone.
func (s *server) receiveAll(p *peerProcess) {
	for {
		m, err := p.receive()
		if err != nil {
			s.do(func() node.Input { return s.peerProcessGone(p, err) })
			return
		}
		p.link.SetReadTimeout(0)
		s.do(func() node.Input { return s.peerProcessSaid(p, m) })
	}
}
