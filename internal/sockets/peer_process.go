package sockets

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"gorseledge/internal/handover"
	"gorseledge/internal/node"
)

const (
	claimWithin = 500 * time.Millisecond // for a predecessor to answer; without that the node serves all the same
	claimFor    = 3 * time.Second        // where the predecessor is handing over to another already
	again       = 100 * time.Millisecond // between tries
	lastLook    = time.Millisecond       // at who waits at the door, before it is closed
	newsWaiting = 1024                   // messages that may wait for the other process
	reusePort   = 15                     // SO_REUSEPORT, which package syscall does not name on this system
)

// pair is what joins this process with the one before it and the one after it.
type pair struct {
	path                   string // where a successor finds this process; empty for nowhere
	ln                     *net.TCPListener
	predecessor, successor *peerProcess
	left                   *node.HandoverState
	offered                *net.UnixListener
	mayOpen                bool // let clients in, before the next input
	able                   bool // the core could serve
	opened                 bool
	adopted                *net.TCPConn // host's side of the connection that the core adopts now
	unpassed               []node.Conn  // that could not even be posted
	given                  bool         // the successor has the clients
}

// inheritsRevision tells whether the predecessor has handed over a revision of the live settings. One that has none
// may not follow the control servers at all.
func (p *pair) inheritsRevision() bool { return p.left != nil && p.left.Revision != nil }

// peer process is the node's other process.
type peerProcess struct {
	link *handover.Link
	out  chan letter
}

// letter is a message, with the clients' door where that goes along.
type letter struct {
	handover.Message
	door         *net.TCPListener
	conn         node.Conn // of a parcel, with its two sockets
	client, host *net.TCPConn
}

// fromTwin brings to the loop what the other process said, or that it is gone; bound a door of this process's own,
// or that none is waited for any longer.
type (
	fromPeerProcess struct {
		*peerProcess
		said         handover.Message
		gone         error
		client, host *net.TCPConn // with a parcel
	}
	bound struct{ ln *net.TCPListener }
)

func newPeerProcess(link *handover.Link) *peerProcess {
	return &peerProcess{link, make(chan letter, newsWaiting)}
}

// post sends a message, in order. Guards against a peer process that does not read: it is given up, and holds nobody up.
func (t *peerProcess) post(m letter) {
	if t == nil {
		return
	}
	select {
	case t.out <- m:
	default:
		t.link.Close()
	}
}

// pairUp gives the door of a node's first process, or what its predecessor hands over, or neither: then the address is
// a predecessor's that hands over nothing.
func pairUp(ctx context.Context, c Config, log zerolog.Logger) (pair, error) {
	p := pair{}
	if dir := os.Getenv("TMPDIR"); c.Admin != "" && dir != "" {
		p.path = handover.Path(dir, c.Listen)
		p.claims(ctx, log)
	}
	if p.predecessor != nil {
		return p, nil
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", c.Listen)
	switch {
	case err == nil:
		p.ln = ln.(*net.TCPListener)
		if c.Admin != "" {
			share(p.ln) // so that a later version may come beside this one, whatever becomes of the hand-over
		}
	case c.Admin != "" && errors.Is(err, syscall.EADDRINUSE):
		log.Warn().Str("listen", c.Listen).Msg("another process has the address and hands nothing over")
	default:
		return p, fmt.Errorf("listen: %w", err)
	}
	return p, nil
}

// claims asks the process that serves for the clients' door and for what it knows. Whatever fails, the node goes
// on without.
func (p *pair) claims(ctx context.Context, log zerolog.Logger) {
	for end := time.Now().Add(claimFor); ; {
		err := p.claim(ctx)
		switch {
		case err == nil:
			log.Info().Int("hosts", len(p.left.Hosts)).Int("connections", len(p.left.Connections)).Bool("heard", p.left.ListReceived).
				Msg("claimed from the predecessor")
			return
		case errors.Is(err, fs.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED): // nobody, or only a stale socket
			return
		case errors.Is(err, errBusy) && time.Now().Before(end) && ctx.Err() == nil:
			time.Sleep(again)
			continue
		}
		log.Warn().Err(err).Msg("nothing handed over")
		return
	}
}

var errBusy = errors.New("the predecessor is busy")

func (p *pair) claim(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	link, err := handover.Dial(ctx, p.path)
	if err != nil {
		return err
	}
	link.SetReadTimeout(claimWithin)
	err = link.Send(handover.Message{Ask: handover.RequestState})
	var m handover.Message
	if err == nil {
		m, err = link.Receive()
	}
	switch {
	case err != nil:
	case m.Refusal == handover.RefusalBusy:
		err = errBusy
	case m.State == nil:
		err = fmt.Errorf("the predecessor said no: %s", m.Refusal)
	default:
		if p.ln, err = link.Listener(); err == nil {
			link.SetReadTimeout(0)
			p.left, p.predecessor = m.State, newPeerProcess(link)
			return nil
		}
	}
	link.Close()
	return err
}

// share lets another process of this user listen on the same address.
func share(ln syscall.Conn) {
	if raw, err := ln.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1) })
	}
}

// beside listens on an address that another process has, as soon as that one shares it or is gone.
func beside(ctx context.Context, address string) *net.TCPListener {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1) })
	}}
	for ctx.Err() == nil {
		if ln, err := lc.Listen(ctx, "tcp", address); err == nil {
			return ln.(*net.TCPListener)
		}
		select {
		case <-time.After(again):
		case <-ctx.Done():
		}
	}
	return nil
}

// open opens the door of a process that can serve: with the predecessor's word, if there is one, so that the two do not
// take clients at once.
func (d *door) open() {
	d.able = true
	switch {
	case d.predecessor != nil:
		d.predecessor.post(letter{Message: handover.Message{Ask: handover.RequestClients}})
		d.group.Go(func() error { // a predecessor that hangs keeps nobody out
			select {
			case <-time.After(claimWithin):
				d.send(bound{})
			case <-d.ctx.Done():
			}
			return nil
		})
	case d.ln != nil:
		d.mayOpen = true
	default:
		d.group.Go(func() error {
			if ln := beside(d.ctx, d.config.Listen); ln != nil {
				d.send(bound{ln})
			}
			return nil
		})
	}
}

// letIn begins to accept clients, and to be found by a successor.
func (d *door) letIn() {
	d.opened = true
	if d.fleet != nil {
		d.fleet.Ready(true)
		d.fleet.Follow()
	}
	ln := d.ln
	d.group.Go(func() error { return d.accept(ln) })
	d.offer()
}

// offer lets a successor find this process. Where that cannot be, a later version comes beside it all the same.
func (d *door) offer() {
	if d.path == "" {
		return
	}
	if d.offered != nil {
		d.offered.Close()
	}
	ln, err := handover.Listen(d.path)
	if d.offered = ln; err != nil {
		d.offered = nil
		d.log.Warn().Err(err).Msg("no hand-over to a later version")
		return
	}
	d.group.Go(func() error {
		for {
			conn, err := ln.AcceptUnix()
			if err != nil {
				return nil
			}
			if link, err := handover.NewLink(conn); err == nil {
				link.SetReadTimeout(claimWithin)
				d.attend(newPeerProcess(link))
			}
		}
	})
}

// send writes a message with what goes along.
func (t *peerProcess) send(m letter) error {
	var err error
	switch {
	case m.door != nil:
		err = t.link.SendSockets(m.door)
	case m.Transfer != nil:
		err = t.link.SendSockets(m.client, m.host)
	}
	if err == nil {
		err = t.link.Send(m.Message)
	}
	return err
}

// receive reads a message with what came along.
func (t *peerProcess) receive() (w fromPeerProcess, err error) {
	w.peerProcess = t
	if w.said, err = t.link.Receive(); err != nil || w.said.Transfer == nil {
		return w, err
	}
	if w.client, err = t.link.Conn(); err == nil {
		if w.host, err = t.link.Conn(); err != nil {
			w.client.Close()
		}
	}
	return w, err
}

// attend reads and writes a peer process until one side is gone.
func (d *door) attend(t *peerProcess) {
	stop := context.AfterFunc(d.ctx, t.link.Close)
	ended := make(chan struct{})
	d.group.Go(func() error {
		for {
			select {
			case m := <-t.out:
				err := t.send(m)
				if err != nil {
					t.link.Close()
				}
				if m.Transfer != nil {
					d.send(node.ConnectionSent{Conn: m.conn, OK: err == nil})
				}
			case <-ended:
				return nil
			}
		}
	})
	d.group.Go(func() error {
		defer stop()
		defer close(ended)
		defer t.link.CloseReceived()
		defer t.link.Close()
		for {
			w, err := t.receive()
			if err != nil {
				d.send(fromPeerProcess{peerProcess: t, gone: err})
				return nil
			}
			t.link.SetReadTimeout(0)
			d.send(w)
		}
	})
}

// hear takes what a peer process says, in the order in which it said it.
func (d *door) hear(w fromPeerProcess) node.Input {
	switch {
	case w.gone != nil:
		return d.gone(w.peerProcess, w.gone)
	case w.said.Update != nil && (w.peerProcess == d.predecessor || w.peerProcess == d.successor):
		return node.PeerProcessChanged{Update: *w.said.Update}
	case w.said.State != nil && w.peerProcess == d.predecessor && !d.opened:
		d.mayOpen = true
		return node.HandoverReceived{State: w.said.State}
	case w.said.Transfer != nil:
		return d.adopt(w)
	case w.said.Ask == handover.RequestState && (d.successor != nil || !d.opened):
		w.post(letter{Message: handover.Message{Refusal: handover.RefusalBusy}})
	case w.said.Ask == handover.RequestState:
		d.successor = w.peerProcess
		limitMemory(d.config.Limits.MemoryMB, true)
		return node.Query{Question: node.ClaimHandover}
	case w.said.Ask == handover.RequestClients && w.peerProcess == d.successor:
		d.given = true
		if d.fleet != nil { // one member throughout: the successor's from here on
			d.fleet.SetHandedOver(true)
		}
		d.ln.SetDeadline(time.Unix(1, 0)) // who waits is the successor's
		return node.Query{Question: node.TakeOver}
	}
	return nil
}

// adopt takes an open connection of the predecessor's.
func (d *door) adopt(w fromPeerProcess) node.Input {
	if w.peerProcess != d.predecessor {
		w.client.Close()
		w.host.Close()
		return nil
	}
	d.last += 2
	d.link(d.last, w.client)
	d.adopted = w.host
	return node.ConnectionReceived{Conn: d.last, Transfer: w.said.Transfer}
}

// pass sends an open connection to the successor.
func (d *door) pass(e node.SendConnection) {
	m := letter{Message: handover.Message{Transfer: e.Transfer}, conn: e.Conn, client: d.links[e.Conn].socket,
		host: d.links[e.Host].socket}
	if d.successor != nil {
		select {
		case d.successor.out <- m:
			return
		default:
		}
	}
	d.unpassed = append(d.unpassed, e.Conn)
}

// passes gives the door for the first of what a successor is sent.
func (d *door) passes() *net.TCPListener {
	if d.given {
		return nil
	}
	return d.ln
}

func (d *door) gone(t *peerProcess, why error) node.Input {
	defer func() { limitMemory(d.config.Limits.MemoryMB, d.predecessor != nil || d.successor != nil) }()
	switch t {
	case d.predecessor:
		d.predecessor = nil
		if d.fleet != nil {
			d.fleet.Follow()
		}
		d.log.Info().AnErr("why", why).Msg("the predecessor's end of the hand-over is closed")
		d.mayOpen = d.able && !d.opened
		return node.PredecessorGone{}
	case d.successor:
		d.successor = nil
		for len(t.out) > 0 { // what was posted too late to be sent stays here
			if m := <-t.out; m.Transfer != nil {
				d.unpassed = append(d.unpassed, m.conn)
			}
		}
		d.log.Info().AnErr("why", why).Msg("the successor's end of the hand-over is closed")
		if d.given {
			d.given = false
			if d.fleet != nil {
				d.fleet.SetHandedOver(false)
			}
			d.ln.SetDeadline(time.Time{})
			d.nudge()
			d.offer()
		}
		return node.SuccessorGone{}
	}
	return nil
}

// shutter ends the accepting of clients: who waits is let in, and then the door is closed at once.
func (d *door) shutter() {
	if d.config.Admin == "" || !d.opened || d.given {
		return
	}
	d.closing.Store(true)
	d.ln.SetDeadline(time.Now().Add(lastLook))
	d.nudge()
}

func (d *door) nudge() {
	select {
	case d.step <- struct{}{}:
	default:
	}
}

// part ends what joins the processes.
func (d *door) part() {
	if d.ln != nil {
		d.ln.Close()
	}
	if d.offered != nil {
		d.offered.Close()
		if !d.given { // guards against a successor's being taken away
			os.Remove(d.path)
		}
	}
	if d.predecessor != nil {
		d.predecessor.link.Close()
	}
}

// limitMemory sets the soft limit: what lies outside the heap needs the rest, and another process half of all.
func limitMemory(mb int64, two bool) {
	if mb <= 0 {
		return
	}
	limit := mb << 20 / 10 * 7
	if two {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
}
