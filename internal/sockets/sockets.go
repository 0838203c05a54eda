// Package sockets carries out what the core asks for on real sockets. One loop calls the core; other
// goroutines only read, write, dial and watch, and hand what came of it to the loop.
package sockets

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"gorseledge/internal/admin"
	"gorseledge/internal/discovery"
	"gorseledge/internal/discovery/roster"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/handover"
	"gorseledge/internal/node"
	"gorseledge/internal/peers"
)

const (
	waiting      = 1024 // inputs that may wait for the loop
	waitingWords = 16   // rounds of words that may wait for the network
)

var (
	errDone     = errors.New("nothing is left to do")
	errOutpaced = errors.New("a call beside it was answered first")
)

// call is a call for the list, or the watch that it became.
type call struct {
	ctx context.Context
	end context.CancelCauseFunc
}

// dialed brings a socket to the loop, spoke and unwatched what became of a watch, and reloaded what of the config
// when it was read again.
type (
	dialed struct {
		conn   node.Conn
		socket *net.TCPConn
		err    error
	}
	spoke struct {
		watch  context.Context
		within bool // a line that has not ended
	}
	listed struct {
		watch context.Context
		list  roster.List
	}
	unwatched struct {
		watch context.Context
		why   string
	}
	reloaded struct {
		config Config
		err    error
	}
)

// door is the loop's own state.
type door struct {
	pair
	core    *node.Node
	config  Config
	log     zerolog.Logger
	group   *errgroup.Group
	ctx     context.Context
	accepts chan *net.TCPConn // holds none: guards against sockets that the core does not count yet
	inputs  chan any          // node.Input or one of the above
	asks    chan question     // guards against a crowd of inputs that holds an operator's question up
	links   map[node.Conn]*link
	last    node.Conn // number of the last connection accepted
	began   time.Time
	base    float64
	timer   *time.Timer
	answer  chan<- node.Answer // of the question that the core has
	next    []node.Input       // what came of effects at once, which the core has not heard yet
	step    chan struct{}      // for who accepts and was stopped: go on
	closing atomic.Bool        // or end
	roster  *discovery.Client
	calls   []call            // for the list, under way, oldest first: once one has spoken it is the only one
	others  chan []peers.Word // to the other nodes; nil where nodes may not talk
	fleet   view.Part         // nil for a node on its own
}

// question is one for the core; the answer is taken at once.
type question struct {
	node.Asked
	answer chan<- node.Answer
}

// ask puts a question to the core.
func (d *door) ask(ctx context.Context, q node.Asked) (node.Answer, bool) {
	answer := make(chan node.Answer, 1)
	select {
	case d.asks <- question{q, answer}:
	case <-ctx.Done():
		return node.Answer{}, false
	case <-d.ctx.Done():
		return node.Answer{}, false
	}
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	return node.Answer{}, false
}

// second opens the second address, if there is to be one.
func (d *door) second(ctx context.Context) error {
	if d.config.Admin == "" {
		return nil
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", d.config.Admin)
	taken := errors.Is(err, syscall.EADDRINUSE)
	if err != nil && !(taken && d.elder != nil) {
		return fmt.Errorf("admin_addr: %w", err)
	}
	d.group.Go(func() error {
		for taken { // the elder's, under the same config: its own once that is gone
			select {
			case <-time.After(again):
			case <-ctx.Done():
				return nil
			}
			if ln, err = lc.Listen(ctx, "tcp", d.config.Admin); err == nil {
				break
			}
		}
		d.log.Info().Str("admin_addr", ln.Addr().String()).Int("callers", d.config.callers()).Msg("second address")
		return admin.Serve(ctx, ln, d.config.callers(), d.ask, d.view())
	})
	return nil
}

// talk opens the address for messages among nodes, if there is to be one. An elder has the same: this one's
// turn comes when that is gone. A node serves without them as well.
func (d *door) talk(ctx context.Context) {
	c := d.config
	if c.PeerAddr == "" {
		return
	}
	d.others = make(chan []peers.Word, waitingWords)
	d.group.Go(func() error {
		l, err := peers.Listen(ctx, c.PeerAddr, c.Peers)
		if err != nil {
			d.log.Warn().Err(err).Msg("no messages among nodes yet")
		}
		for err != nil {
			select {
			case <-time.After(again):
			case <-ctx.Done():
				return nil
			}
			l, err = peers.Listen(ctx, c.PeerAddr, c.Peers)
		}
		d.log.Info().Str("peer_addr", c.PeerAddr).Int("peers", len(c.Peers)).Msg("messages among nodes")
		d.group.Go(func() error { return d.saying(ctx, l.Send) })
		return l.Serve(ctx, d.heard)
	})
}

// saying hands on the words that are to go to other nodes, beside the loop.
func (d *door) saying(ctx context.Context, send func([]peers.Word)) error {
	for {
		select {
		case words := <-d.others:
			send(words)
		case <-ctx.Done():
			return nil
		}
	}
}

// heard takes another node's words.
func (d *door) heard(words []peers.Word) {
	select {
	case d.inputs <- node.Heard{Words: words}:
	default: // guards against a crowd of messages that holds clients up
	}
}

// join makes the node a member of its fleet, if it is to be one. It serves all the same, whatever becomes of
// that.
func (d *door) join(ctx context.Context, open opener, start node.Start) {
	if open == nil {
		return
	}
	d.fleet = open(d.config.Name, Version(), start.Rundown.Seed, start.Rundown.Nodes, d.log, func(n int) {
		d.send(node.Siblings{Nodes: n})
	}, d.heard)
	d.group.Go(func() error { return d.fleet.Run(ctx) })
	if d.config.PeerAddr != "" || !start.Rundown.Peers {
		return
	}
	d.others = make(chan []peers.Word, waitingWords) // no peers are named: the members are told
	d.group.Go(func() error { return d.saying(ctx, d.fleet.Say) })
}

// view is what the second address shows of the fleet; nil for a node on its own.
func (d *door) view() func() view.View {
	if d.fleet == nil {
		return nil
	}
	return d.fleet.View
}

// Version is the revision that this program was built from, as far as the build knows it.
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(len(s.Value), 12)]
			}
		}
	}
	return ""
}

// Signals are what the platform asks of a node that runs.
type Signals struct {
	Leave  <-chan os.Signal
	Reload <-chan os.Signal // read the config again
}

// Run serves until the core is done, a signal says to leave, or something fails that it cannot do without.
func Run(ctx context.Context, c Config, log zerolog.Logger, asked Signals) error {
	start, err := c.start()
	if err != nil {
		return err
	}
	member, err := c.member() // before any door is open
	if err != nil {
		return err
	}
	p, err := pairUp(ctx, c, log)
	if err != nil {
		return err
	}
	start.Left, start.Shut = p.left, p.elder != nil || p.ln == nil
	group, ctx := errgroup.WithContext(ctx)
	began := time.Now()
	d := &door{pair: p, step: make(chan struct{}, 1), config: c, log: log, group: group, ctx: ctx,
		accepts: make(chan *net.TCPConn), inputs: make(chan any, waiting), asks: make(chan question, c.callers()),
		links: map[node.Conn]*link{},
		last:  1, began: began, base: float64(began.UnixNano()) / 1e9, timer: time.NewTimer(0),
		roster: discovery.New(c.Discovery)}
	d.core = node.New(d.now(), start)
	d.join(ctx, member, start)
	if err := d.second(ctx); err != nil {
		d.part()
		return err
	}
	listen := c.Listen
	if p.ln != nil {
		listen = p.ln.Addr().String()
	}
	log.Info().Str("listen", listen).Int("sockets", start.Sockets).Bool("elder", start.Shut).Msg("started")
	limitMemory(c.Limits.MemoryMB, start.Shut)
	if p.elder != nil {
		d.attend(p.elder)
	}
	d.talk(ctx)
	d.mayOpen = !start.Shut
	group.Go(func() error { return d.loop(asked.Leave) })
	group.Go(func() error { return d.reread(asked.Reload) })
	if err := group.Wait(); !errors.Is(err, errDone) {
		return err
	}
	return nil
}

// now is the system's clock at the start and what has passed since: it never goes back.
func (d *door) now() float64 { return d.base + time.Since(d.began).Seconds() }

// send hands something to the loop, unless the loop has ended.
func (d *door) send(in any) {
	select {
	case d.inputs <- in:
	case <-d.ctx.Done():
	}
}

func (d *door) accept(ln *net.TCPListener) error {
	for {
		socket, err := ln.AcceptTCP()
		switch {
		case err == nil:
			select {
			case d.accepts <- socket:
			case <-d.ctx.Done():
				socket.Close()
			}
		case errors.Is(err, os.ErrDeadlineExceeded): // paused, or to end
			if d.closing.Load() {
				return ln.Close()
			}
			select {
			case <-d.step:
			case <-d.ctx.Done():
				return nil
			}
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // no descriptor for now, or the client is gone already
			d.log.Warn().Err(err).Msg("accept")
			select {
			case <-time.After(5 * time.Millisecond):
			case <-d.ctx.Done():
				return nil
			}
		}
	}
}

// reread reads the config each time it is asked to, beside the loop: a slow disk holds no client up.
func (d *door) reread(asked <-chan os.Signal) error {
	for {
		select {
		case <-d.ctx.Done():
			return nil
		case <-asked:
			c, err := ReadConfig(d.config.path)
			if err == nil {
				_, err = c.start()
			}
			d.send(reloaded{c, err})
		}
	}
}

// reload takes a config that was read again. Discovery may be elsewhere now; the rest takes a new process.
func (d *door) reload(c Config, err error) node.Input {
	if err != nil { // guards against a half-written file ending a node that serves: the old one holds
		d.log.Error().Err(err).Msg("config not taken, the old one holds")
		return nil
	}
	if d.config.differs(c) {
		d.log.Warn().Msg("config read again: all but discovery waits for a restart")
	}
	moved := c.Discovery != d.config.Discovery
	d.log.Info().Str("discovery", c.Discovery).Bool("moved", moved).Msg("config read again")
	if !moved {
		return nil
	}
	d.config.Discovery = c.Discovery
	d.roster = discovery.New(c.Discovery)
	return node.Relocated{}
}

func (d *door) loop(stop <-chan os.Signal) error {
	defer func() {
		for _, l := range d.links {
			l.close(false)
		}
		d.part()
	}()
	for {
		if d.mayOpen {
			d.mayOpen = false
			d.letIn()
			if !d.apply(node.Opened{}) {
				return errDone
			}
		}
		for ; len(d.unpassed) > 0; d.unpassed = d.unpassed[1:] {
			if !d.apply(node.Passed{Conn: d.unpassed[0]}) {
				return errDone
			}
		}
		var in node.Input
		accepts := d.accepts
		if len(d.inputs) > 0 { // guards against a crowd at the door being let in before those inside are heard
			accepts = nil
		}
		select {
		case <-d.ctx.Done():
			return d.ctx.Err()
		case <-stop:
			d.log.Info().Msg("asked to leave")
			if d.fleet != nil && !d.given {
				d.fleet.Leave()
			}
			in = node.Leave{}
		case <-d.timer.C:
			in = node.Tick{}
		case socket := <-accepts:
			d.last += 2
			d.link(d.last, socket)
			in = node.Accepted{Conn: d.last}
		case what := <-d.inputs:
			in = d.arrived(what)
		case q := <-d.asks:
			d.answer, in = q.answer, q.Asked
		}
		if in == nil {
			continue
		}
		if !d.apply(in) {
			return errDone
		}
	}
}

// apply gives one input to the core and carries out what it asks for, and what came at once of that;
// false says that nothing is left to do.
func (d *door) apply(in node.Input) bool {
	d.next = d.next[:0]
	for i := 0; ; i++ {
		for _, e := range d.core.Apply(d.now(), in) {
			if !d.perform(e) {
				return false
			}
		}
		if i == len(d.next) {
			return true
		}
		in = d.next[i]
	}
}

// arrived takes the sockets out of what goroutines hand in.
func (d *door) arrived(what any) node.Input {
	switch what := what.(type) {
	case dialed:
		l := d.links[what.conn]
		if l == nil { // given up meanwhile
			if what.socket != nil {
				what.socket.Close()
			}
			return node.Closed{Conn: what.conn}
		}
		if what.err == nil {
			d.link(what.conn, what.socket)
		}
		return node.Dialed{Conn: what.conn, Err: what.err, Own: own(what.err)}
	case spoke:
		if what.watch.Err() != nil { // called off meanwhile: it says nothing of the watch that took its place
			return nil
		}
		d.calls = slices.DeleteFunc(d.calls, func(c call) bool {
			if c.ctx != what.watch {
				c.end(errOutpaced)
			}
			return c.ctx != what.watch
		})
		return node.Spoke{Within: what.within}
	case listed:
		// What a watch said before it was given up as silent counts. Guards against an older list after the newer one
		// of the call beside it.
		if context.Cause(what.watch) == errOutpaced {
			return nil
		}
		return node.Listed{List: what.list}
	case unwatched:
		if what.watch.Err() != nil {
			return nil
		}
		d.calls = slices.DeleteFunc(d.calls, func(c call) bool {
			if c.ctx == what.watch {
				c.end(nil)
			}
			return c.ctx == what.watch
		})
		if len(d.calls) > 0 { // one beside it waits still
			return nil
		}
		return node.Unlisted{Why: what.why}
	case reloaded:
		return d.reload(what.config, what.err)
	case fromTwin:
		return d.hear(what)
	case bound:
		if what.ln != nil {
			d.ln = what.ln
		}
		d.mayOpen = !d.opened
		return nil
	}
	return what.(node.Input)
}

// own tells whether a dial failed for what this machine lacks.
func own(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// perform carries out one effect; false says that it was the last.
func (d *door) perform(e node.Effect) bool {
	switch e := e.(type) {
	case node.Read:
		l := d.links[e.Conn]
		if l.halted {
			l.halted = false
			l.socket.SetReadDeadline(time.Time{})
		}
		l.reads <- e.Into
	case node.Write:
		if n, failed, whole := d.links[e.Conn].write(e.Data); whole {
			d.next = append(d.next, node.Wrote{Conn: e.Conn, N: n, Failed: failed})
		}
	case node.Dial:
		d.dial(e)
	case node.Shut:
		if err := d.links[e.Conn].socket.CloseWrite(); err != nil {
			d.log.Debug().Err(err).Msg("shut")
		}
	case node.Close:
		d.links[e.Conn].close(e.Reset)
		delete(d.links, e.Conn)
	case node.Watch:
		d.watch(e)
	case node.Unwatch:
		d.unwatch(0)
	case node.Timer:
		d.timer.Reset(time.Duration((e.At - d.now()) * 1e9))
	case node.Note:
		d.log.Info().Msg(e.Line)
	case node.Done:
		r := e.Record
		d.log.Info().Str("reason", string(r.Reason)).Str("type", r.Type).Str("host", r.Host).
			Int("connects", r.Connects).Float64("setup_s", round(r.Setup)).Float64("lasted_s", round(r.Lasted)).
			Uint64("up", r.Up).Uint64("down", r.Down).Msg("ended")
	case node.Answer:
		if e.Legacy != nil {
			d.heir.post(letter{Message: handover.Message{Legacy: e.Legacy}, door: d.passes()})
		} else {
			d.answer <- e
		}
	case node.Say:
		if d.others != nil {
			select {
			case d.others <- e.Words:
			default: // the sender is behind: lost, as on the way
			}
		}
	case node.Tell:
		d.elder.post(letter{Message: handover.Message{News: &e.News}})
		d.heir.post(letter{Message: handover.Message{News: &e.News}})
	case node.Halt:
		l := d.links[e.Conn]
		l.halted = true
		l.socket.SetReadDeadline(time.Unix(1, 0))
	case node.Pass:
		d.pass(e)
	case node.Own:
		d.link(e.Conn, d.adopted)
		d.adopted = nil
	case node.Ready:
		d.open()
	case node.Shutter:
		d.shutter()
	case node.Exit:
		return false
	}
	return true
}

func round(seconds float64) float64 { return float64(int64(seconds*1e3+0.5)) / 1e3 }

// unwatch ends all calls for the list but so many of the oldest.
func (d *door) unwatch(but int) {
	but = min(but, len(d.calls))
	for _, c := range d.calls[but:] {
		c.end(nil)
	}
	d.calls = d.calls[:but]
}

// watch begins a watch of the list in place of those before, or beside the oldest call, which discovery answers first.
func (d *door) watch(e node.Watch) {
	if e.Beside {
		d.unwatch(1)
	} else {
		d.unwatch(0)
	}
	ctx, end := context.WithCancelCause(d.ctx)
	d.calls = append(d.calls, call{ctx, end})
	client := d.roster
	d.group.Go(func() error {
		err := client.Watch(ctx, e.Index, func(within bool) { d.send(spoke{ctx, within}) },
			func(l roster.List) { d.send(listed{ctx, l}) })
		if ctx.Err() == nil {
			d.send(unwatched{ctx, err.Error()})
		}
		return nil
	})
}
