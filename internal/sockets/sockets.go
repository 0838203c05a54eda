// Package sockets carries out what the core asks for on real sockets. One loop calls the core; other
// goroutines only read, write, dial and watch, and hand what came of it to the loop.
package sockets

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"gorseledge/internal/discovery"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
	"gorseledge/internal/peers"
)

const (
	waiting            = 1024 // inputs that may wait for the loop
	awaitSettings      = 2.0  // s, for a first revision before clients are let in
	controlDescriptors = 2    // a connection to a control server, and the next one while that is being closed
)

var errDone = errors.New("nothing is left to do")

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
	answer  chan<- node.Reply // of the question that the core has
	next    []node.Input      // what came of effects at once, which the core has not heard yet
	step    chan struct{}     // for who accepts and was stopped: go on
	closing atomic.Bool       // or end
	roster  *discovery.Client
	calls   []call                // for the list, under way, oldest first: once one has spoken it is the only one
	others  chan []peers.HostLoad // to the other nodes; nil where nodes may not talk
	fleet   view.Part             // nil for a node on its own

	configured    chan<- node.SettingsApplied // of the revision that the core has
	liveDiscovery string                      // discovery's address by the live settings; empty for the config's
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
	Shutdown <-chan os.Signal
	Reload   <-chan os.Signal // read the config again
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
	start.Handover, start.NotListening = p.left, p.predecessor != nil || p.ln == nil
	if member.follows {
		start.MaxDescriptors, start.DescriptorOverhead = max(start.MaxDescriptors-controlDescriptors, 2), start.DescriptorOverhead+controlDescriptors
	}
	if member.follows && !p.inheritsRevision() {
		start.AwaitSettings = awaitSettings
	}
	group, ctx := errgroup.WithContext(ctx)
	began := time.Now()
	d := &door{pair: p, step: make(chan struct{}, 1), config: c, log: log, group: group, ctx: ctx,
		accepts: make(chan *net.TCPConn), inputs: make(chan any, waiting), asks: make(chan question, c.callers()),
		links: map[node.Conn]*link{},
		last:  1, began: began, base: float64(began.UnixNano()) / 1e9, timer: time.NewTimer(0),
		roster: discovery.New(c.Discovery)}
	d.core = node.New(d.now(), start)
	if address := d.core.Revision().Settings.Discovery; address != nil {
		d.relocate(*address)
	}
	d.join(ctx, member, start)
	if err := d.second(ctx); err != nil {
		d.part()
		return err
	}
	listen := c.Listen
	if p.ln != nil {
		listen = p.ln.Addr().String()
	}
	log.Info().Str("listen", listen).Int("sockets", start.MaxDescriptors).Bool("predecessor", start.NotListening).Msg("started")
	limitMemory(c.Limits.MemoryMB, start.NotListening)
	if p.predecessor != nil {
		d.attend(p.predecessor)
	}
	d.talk(ctx)
	d.mayOpen = !start.NotListening && start.AwaitSettings == 0
	group.Go(func() error { return d.loop(asked.Shutdown) })
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
			if !d.apply(node.ListenerOpened{}) {
				return errDone
			}
		}
		for ; len(d.unpassed) > 0; d.unpassed = d.unpassed[1:] {
			if !d.apply(node.ConnectionSent{Conn: d.unpassed[0]}) {
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
			in = node.Shutdown{}
		case <-d.timer.C:
			in = node.TimerFired{}
		case socket := <-accepts:
			d.last += 2
			d.link(d.last, socket)
			in = node.Accepted{Conn: d.last}
		case what := <-d.inputs:
			in = d.arrived(what)
		case q := <-d.asks:
			d.answer, in = q.answer, q.Query
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
