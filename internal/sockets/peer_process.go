package sockets

import (
	"context"
	"net"

	"gorseledge/internal/handover"
	"gorseledge/internal/node"
)

// maxWaitingMessages is how many messages may wait for a peer process. The link to a process that lets more wait is closed.
const maxWaitingMessages = 1024

// peerProcess is another process of this node: the predecessor, the successor, or one whose request was refused.
type peerProcess struct {
	link     *handover.Link
	outgoing chan outgoingMessage
}

// outgoingMessage is a message with the sockets that are sent with it: the clients' listener, or the two sockets of a
// transferred connection.
type outgoingMessage struct {
	handover.Message
	listener     *net.TCPListener // nil if no listener is sent
	conn         node.ConnID      // set only for a transfer
	client, host *net.TCPConn     // set only for a transfer
}

// incomingMessage is a message with the sockets that were received with it, if it is a transfer.
type incomingMessage struct {
	handover.Message
	client, host *net.TCPConn
}

func newPeerProcess(link *handover.Link) *peerProcess {
	return &peerProcess{link: link, outgoing: make(chan outgoingMessage, maxWaitingMessages)}
}

// post queues a message behind those posted before. If the queue is full, the peer process does not read, and its link is
// closed so that this process need not wait for it. For a nil peer process post does nothing.
func (p *peerProcess) post(m outgoingMessage) {
	if p != nil && !p.tryPost(m) {
		p.link.Close()
	}
}

// tryPost queues a message. It returns false if the queue is full.
func (p *peerProcess) tryPost(m outgoingMessage) bool {
	select {
	case p.outgoing <- m:
		return true
	default:
		return false
	}
}

// send writes a message to the link. The sockets that belong to it are sent first.
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

// receive reads a message and, for a transfer, its two sockets.
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

// servePeerProcess starts the goroutines that read from and write to a peer process until the link is closed or the
// server's context ends.
func (s *server) servePeerProcess(p *peerProcess) {
	stop := context.AfterFunc(s.ctx, p.link.Close)
	ended := make(chan struct{})
	s.group.Go(func() error {
		s.sendQueued(p, ended)
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

// sendQueued sends the messages that are queued for a peer process until reading from it has ended, and notifies the
// core of the result of each transfer.
func (s *server) sendQueued(p *peerProcess, ended <-chan struct{}) {
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

// receiveAll hands the messages of a peer process to the loop in the order in which they arrive, and then the end of the
// link.
func (s *server) receiveAll(p *peerProcess) {
	for {
		m, err := p.receive()
		if err != nil {
			s.do(func() node.Input { return s.peerProcessGone(p, err) })
			return
		}
		p.link.SetReadTimeout(0)
		s.do(func() node.Input { return s.handlePeerMessage(p, m) })
	}
}
