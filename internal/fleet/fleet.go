package fleet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
	"gorseledge/internal/membership/wire"
	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

const (
	again    = 50 * time.Millisecond // between two tries to open the address
	shareGap = time.Second           // between two looks at the number of nodes

	mostWords = 24 // in a message: beside them a name of 64 bytes fits as well
)

// Fleet is this node's part of a fleet.
type Fleet struct {
	config        Config
	options       view.Options
	log           zerolog.Logger
	startedAt     time.Time
	base          float64
	configuration *configFollower // nil where the fleet file names no control servers

	mu              sync.Mutex
	configuredNodes int // nodes of which the node's settings speak
	core            *membership.Members
	authenticator   *authenticator
	socket          *peers.Socket // nil while there is none
	handedOver      bool          // another process of this node is the member now
	left            bool
	rejected        map[rejection]int
	wake            chan struct{}
	divisor         BudgetDivisor
	reportedNodes   int
	traffic         trafficCounts
	observe         func(membership.Changed)     // nil where nobody observes
	filter          func(at netip.AddrPort) bool // nil in service
}

// New gives a node's part of a fleet by its file.
func New(c Config, o view.Options) *Fleet {
	began := time.Now()
	f := &Fleet{config: c, options: o, log: o.Log, startedAt: began, base: float64(began.UnixNano()) / 1e9, configuredNodes: o.ConfiguredNodes,
		authenticator: newAuthenticator(c), rejected: map[rejection]int{}, wake: make(chan struct{}, 1)}
	f.core = membership.New(f.now(), membership.Config{
		Self: membership.Member{Name: o.Name, Start: uint64(began.UnixMicro()), Address: c.Address, Zone: c.Zone, Build: o.Build},
		Join: c.Join, Seed: o.Seed, Period: c.Period, ProbeTimeout: c.Period / 5, IndirectProbes: 3, MaxMessageBytes: maxMessageBytes})
	if len(c.Control) > 0 && o.Install != nil {
		f.configuration = newConfigFollower(c, o, f.now)
		f.setConfiguredNodes(o.InForce)
	}
	return f
}

// Observe has each change of a member's state that this node sees handed on, under the fleet's lock. It is called before
// Run.
func (f *Fleet) Observe(changed func(membership.Changed)) { f.observe = changed }

// Filter has datagrams from and to the addresses for which drop is true be lost, as by a cut network. It is for test
// fleets only and is called before Run.
func (f *Fleet) Filter(drop func(at netip.AddrPort) bool) { f.filter = drop }

func (f *Fleet) now() float64 { return f.base + time.Since(f.startedAt).Seconds() }

// Run is a member until the context ends, or the node has left the fleet. It follows the control servers, where the
// fleet file names some, until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	if f.configuration == nil {
		return f.member(ctx)
	}
	var group errgroup.Group
	group.Go(func() error {
		f.configuration.run(ctx)
		return nil
	})
	group.Go(func() error { return f.member(ctx) })
	return group.Wait()
}

// member is a member until the context ends, or the node has left the fleet.
func (f *Fleet) member(ctx context.Context) error {
	for ctx.Err() == nil {
		f.mu.Lock()
		held, left := f.handedOver, f.left
		f.mu.Unlock()
		switch {
		case left:
			return nil
		case held:
			select {
			case <-f.wake:
			case <-ctx.Done():
			}
			continue
		}
		socket, err := f.open(ctx)
		if err == nil {
			f.serve(ctx, socket)
			continue
		}
		f.log.Debug().Err(err).Msg("the fleet's address")
		select {
		case <-time.After(again):
		case <-ctx.Done():
		}
	}
	return nil
}

func (f *Fleet) open(ctx context.Context) (*peers.Socket, error) {
	socket, err := peers.Open(ctx, f.config.Address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.handedOver || f.left { // handed over meanwhile
		socket.Close()
		return nil, net.ErrClosed
	}
	f.socket = socket
	f.log.Info().Str("fleet", f.config.Fleet).Str("address", f.config.Address).Msg("member of a fleet")
	return socket, nil
}

// serve reads and ticks until the address is closed.
func (f *Fleet) serve(ctx context.Context, socket *peers.Socket) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		socket.Serve(ctx, maxDatagramBytes, f.receiveDatagram)
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	look := time.NewTicker(shareGap)
	defer look.Stop()
	for {
		select {
		case <-timer.C:
			f.do(func(now float64) []membership.Effect { return f.core.Tick(now) })
		case <-look.C:
			f.count()
		case <-f.wake:
		case <-done:
			return
		}
		f.mu.Lock()
		next := min(max(f.core.NextTick()-f.now(), 0), 3600)
		f.mu.Unlock()
		timer.Reset(time.Duration(next * 1e9))
	}
}

// closeSocket closes the address, for who has the lock.
func (f *Fleet) closeSocket() {
	if f.socket != nil {
		f.socket.Close()
		f.socket = nil
	}
}

// receiveDatagram takes a datagram; whose it is tells the message itself.
func (f *Fleet) receiveDatagram(text []byte, from netip.AddrPort) {
	if f.filter != nil && f.filter(from) {
		return
	}
	f.mu.Lock()
	m, why := f.authenticator.verify(text)
	if why == accepted {
		f.traffic.received(m.Kind, len(text))
	}
	if why != accepted {
		if f.rejected[why]++; f.rejected[why] == 1 {
			f.log.Warn().Str("why", string(why)).Msg("message not taken")
		}
	}
	f.mu.Unlock()
	if why == accepted && m.Kind == wire.Message_WORDS {
		if words := peers.Parse(m.Words); len(words) > 0 && f.options.GossipReceived != nil {
			f.options.GossipReceived(words)
		}
		return
	}
	if why == accepted {
		f.do(func(now float64) []membership.Effect { return f.core.Receive(now, m) })
		f.wakeUp()
	}
}

func (f *Fleet) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// do gives the core something and carries out what it asks for.
func (f *Fleet) do(what func(now float64) []membership.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range what(f.now()) {
		switch e := e.(type) {
		case membership.Send:
			f.send(e.To, e.Message)
		case membership.Changed:
			if f.observe != nil {
				f.observe(e)
			}
			f.log.Info().Str("member", e.Name).Str("state", e.State.String()).Str("was", e.Previous.String()).Bool("new", e.New).
				Str("by", e.SuspectedBy).Uint64("start", e.Start).Uint32("incarnation", e.Incarnation).Int("living", f.core.Living()).
				Msg("member")
		case membership.Replaced:
			f.left = true
			f.log.Error().Str("address", e.Successor.Address).Msg("another process goes by this name: this one leaves the fleet")
			f.closeSocket()
		}
	}
}

// send sends a message; one that cannot be sent is lost, as on the way.
func (f *Fleet) send(to string, m *wire.Message) {
	if via, ok := f.config.Via[to]; ok {
		to = via
	}
	at, err := peers.ParseAddress(to)
	if err != nil || f.socket == nil || f.filter != nil && f.filter(at) {
		return
	}
	text, err := f.authenticator.sign(m)
	if err != nil || len(text) > maxDatagramBytes {
		f.log.Error().Err(err).Int("bytes", len(text)).Msg("message not sent")
		return
	}
	f.traffic.sent(m.Kind, len(text))
	f.socket.Send([][]byte{text}, at)
}

// SendGossip tells every other member that lives what this node was told of hosts' loads. What is lost is lost: the
// others learn the same by their own probes, later.
func (f *Fleet) SendGossip(words []peers.HostLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self, all := f.core.Self(), f.core.All()
	for ; len(words) > 0; words = words[min(len(words), mostWords):] {
		text := peers.Append(nil, words[:min(len(words), mostWords)])
		for _, m := range all {
			if m.Name != self.Name && m.State <= membership.Suspect {
				f.send(m.Address, &wire.Message{Kind: wire.Message_WORDS, From: self.Name, Start: self.Start, Words: text})
			}
		}
	}
}

// count tells the number of nodes where it has changed.
func (f *Fleet) count() {
	f.mu.Lock()
	n := f.divisor.Update(f.now(), f.core.Living(), f.configuredNodes)
	changed := n != f.reportedNodes
	f.reportedNodes = n
	f.mu.Unlock()
	if changed && f.options.NodesChanged != nil {
		f.options.NodesChanged(n)
	}
}

// Ready tells the others whether this node takes clients.
func (f *Fleet) Ready(ready bool) {
	f.mu.Lock()
	f.core.SetReady(f.now(), ready)
	f.mu.Unlock()
}

// SetHandedOver hands membership to another process of this node, or takes it back.
func (f *Fleet) SetHandedOver(held bool) {
	f.mu.Lock()
	f.handedOver = held
	if held {
		f.closeSocket()
	}
	f.mu.Unlock()
	f.wakeUp()
	if f.configuration != nil {
		f.configuration.setHandedOver(held)
	}
}

// Follow follows the control servers from here on, as no predecessor of this process does.
func (f *Fleet) Follow() {
	if f.configuration != nil {
		f.configuration.releaseByPredecessor()
	}
}

// InForce notes that a revision of the live settings is in force.
func (f *Fleet) InForce(r live.Revision) {
	if f.configuration != nil {
		f.configuration.inForce(r)
		f.setConfiguredNodes(r)
	}
}

// setConfiguredNodes takes the number of nodes of which a revision speaks, or the start's where it speaks of none.
func (f *Fleet) setConfiguredNodes(r live.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configuredNodes = f.options.ConfiguredNodes
	if nodes := r.Settings.Nodes; nodes != nil {
		f.configuredNodes = *nodes
	}
}

// Leave tells the others that this node goes, unless another process of it stays.
func (f *Fleet) Leave() {
	f.mu.Lock()
	held := f.handedOver || f.left
	f.mu.Unlock()
	if held {
		return
	}
	f.do(func(now float64) []membership.Effect { return f.core.Leave(now) })
	f.mu.Lock()
	f.left = true
	f.closeSocket()
	f.mu.Unlock()
}

// Living is how many members this node holds for living, itself included.
func (f *Fleet) Living() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Living()
}

// Digest is the same at two nodes that know the same of the same members.
func (f *Fleet) Digest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Digest()
}

// PendingUpdates is how many members this node still tells others of; none in a fleet at rest.
func (f *Fleet) PendingUpdates() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.PendingUpdates()
}

// Member is what this node knows of a member; false where it does not know it.
func (f *Fleet) Member(name string) (membership.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Member(name)
}

// Self is this member as it tells of itself.
func (f *Fleet) Self() membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Self()
}

// Traffic is what this node sent to and received from other members since its start, by kind.
func (f *Fleet) Traffic() []view.Traffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.traffic.nonZero()
}

// Config is what this node knows of the configuration that is distributed; nil where it follows no control servers.
func (f *Fleet) Config() *view.Config {
	if f.configuration == nil {
		return nil
	}
	return f.configuration.view()
}

// View gives what this node knows of its fleet now.
func (f *Fleet) View() view.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := view.View{Fleet: f.config.Fleet, Self: f.core.Self().Name, Living: f.core.Living(), HealthScore: f.core.HealthScore(),
		Nodes: f.reportedNodes, Traffic: f.traffic.nonZero(), Rejected: map[string]int{}}
	all := f.core.All()
	names := map[uint32]string{}
	for _, m := range all {
		names[membership.NameHash(m.Name)] = m.Name
	}
	for _, m := range all {
		s := view.Member{Name: m.Name, State: m.State.String(), Since: m.Since, Start: m.Start, Incarnation: m.Incarnation,
			Address: m.Address, Zone: m.Zone, Build: m.Build, Ready: m.Ready}
		for _, number := range m.BadLinks {
			if name, known := names[number]; known {
				s.BadLinks = append(s.BadLinks, name)
			}
		}
		v.Members = append(v.Members, s)
	}
	for why, n := range f.rejected {
		v.Rejected[string(why)] = n
	}
	if f.configuration != nil {
		v.Config = f.configuration.view()
	}
	return v
}
