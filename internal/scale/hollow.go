package scale

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
	"gorseledge/internal/node/live"
)

const returnPollInterval = 250 * time.Millisecond // between two checks for returned members

// hollowProcess hosts hollow nodes. Each hollow node is a fleet.Fleet with its socket and timers, as a real node runs it,
// without the part that serves clients. The log lines of hollow nodes are formatted and discarded.
type hollowProcess struct {
	ctx          context.Context
	change       func(*hollowNode) // applied to every node before it starts
	watch        *watch
	inForce      *inForceDelays
	cut          atomic.Pointer[cutNetwork]
	regions      map[netip.AddrPort]int // region of each node address
	mu           sync.Mutex             // guards changes to nodes, and reads outside of the goroutine that serves requests
	nodes        map[string]*hostedNode
	endedTraffic []view.Traffic // traffic of nodes that have ended
	group        sync.WaitGroup
}

// hostedNode is a running hollow node.
type hostedNode struct {
	plan hollowNode
	node *fleet.Fleet
	stop context.CancelFunc
	done chan struct{} // closed when the node has ended
}

// cutNetwork is the set of regions that are cut off from all others.
type cutNetwork struct{ regions map[int]bool }

// blocks reports whether the cut prevents messages between regions a and b.
func (c *cutNetwork) blocks(a, b int) bool {
	return c != nil && a != b && (c.regions[a] || c.regions[b])
}

// ServeHollow runs a hollow process: it reads requests from in and writes replies to out until the input or the context
// ends. When it returns, all its nodes and goroutines have ended.
func ServeHollow(ctx context.Context, in io.Reader, out io.Writer) error {
	return serveHollow(ctx, in, out, func(*hollowNode) {})
}

// serveHollow is ServeHollow with a change that is applied to every node before it starts, so that tests can run faulty nodes.
func serveHollow(ctx context.Context, in io.Reader, out io.Writer, change func(*hollowNode)) error {
	ctx, stop := context.WithCancel(ctx)
	p := &hollowProcess{ctx: ctx, change: change, watch: newWatch(), inForce: newInForceDelays(), nodes: map[string]*hostedNode{}}
	defer p.group.Wait()
	defer stop()
	if c, ok := in.(io.Closer); ok { // a pending read must not outlive the context
		defer context.AfterFunc(ctx, func() { c.Close() })()
	}
	p.group.Go(p.pollReturns)
	lines, answers := json.NewDecoder(bufio.NewReader(in)), json.NewEncoder(out)
	for ctx.Err() == nil {
		var r request
		if err := lines.Decode(&r); errors.Is(err, io.EOF) || ctx.Err() != nil {
			return nil
		} else if err != nil {
			return err
		}
		answer, err := p.serve(r)
		if err != nil {
			answer.Error = err.Error()
		}
		if err := answers.Encode(answer); err != nil {
			return err
		}
	}
	return nil
}

// serve carries out one request and returns the reply.
func (p *hollowProcess) serve(r request) (a reply, err error) {
	switch r.Kind {
	case requestSetRegions:
		p.regions = map[netip.AddrPort]int{}
		for address, region := range r.Regions {
			at, err := netip.ParseAddrPort(address)
			if err != nil {
				return a, err
			}
			p.regions[at] = region
		}
	case requestStart:
		for _, n := range r.Nodes {
			m, err := p.start(n)
			if err != nil {
				return a, err
			}
			a.Members = append(a.Members, m)
		}
	case requestKill, requestLeave:
		return a, p.end(r.Names, r.Kind == requestLeave)
	case requestCut:
		c := &cutNetwork{regions: map[int]bool{}}
		for _, region := range r.CutRegions {
			c.regions[region] = true
		}
		p.cut.Store(c)
	case requestWatchDepartures:
		p.watch.reset(r.Names)
	case requestMembers:
		for _, h := range p.nodes {
			a.Members = append(a.Members, newMemberRecord(h.node.Self()))
		}
	case requestWatchReturns:
		starts := map[string]uint64{}
		for _, m := range r.Members {
			starts[m.Name] = m.Start
		}
		p.watch.expect(starts)
	case requestWatchInForce:
		p.inForce.begin(r.Version)
	case requestReport:
		a.Report = p.report(r.Digests)
	case requestCheck:
		a.Disagreements, a.FirstDisagreement = p.check(r.Expected)
	default:
		return a, fmt.Errorf("unknown request kind %q", r.Kind)
	}
	return a, nil
}

// pollReturns checks periodically, while the watch expects returns, which of the expected members each node sees as live
// again.
func (p *hollowProcess) pollReturns() {
	for sleep(p.ctx, returnPollInterval.Seconds()) == nil {
		if !p.watch.expectsReturns() {
			continue
		}
		p.mu.Lock()
		nodes := slices.Collect(maps.Values(p.nodes))
		p.mu.Unlock()
		for _, h := range nodes {
			p.watch.checkReturned(h.plan.Name, h.node.Member)
		}
	}
}

// start starts a node and returns its membership record. The node's fleet file is encoded and parsed, because a real node
// parses its file.
func (p *hollowProcess) start(n hollowNode) (memberRecord, error) {
	if p.nodes[n.Name] != nil {
		return memberRecord{}, fmt.Errorf("node %s is already running", n.Name)
	}
	p.change(&n)
	text, err := toml.Marshal(n.Fleet)
	if err != nil {
		return memberRecord{}, err
	}
	file, err := fleet.Parse(n.Name, text)
	if err != nil {
		return memberRecord{}, err
	}
	log := zerolog.New(io.Discard).With().Timestamp().Str("node", n.Name).Logger()
	node := fleet.New(file, view.Options{Name: n.Name, Build: n.Build, Seed: n.Seed, ConfiguredNodes: n.ConfiguredNodes, Log: log,
		NodesChanged: func(int) {}, Install: func(_ context.Context, revision live.Revision) error {
			p.install(n.Name, revision)
			return nil
		}})
	node.Observe(func(c membership.Changed) { p.watch.observe(n.Name, c.Name, c.State) })
	node.Filter(func(at netip.AddrPort) bool {
		region, known := p.regions[at]
		return known && p.cut.Load().blocks(n.Region, region)
	})
	node.SetReady(true)
	ctx, stop := context.WithCancel(p.ctx)
	h := &hostedNode{plan: n, node: node, stop: stop, done: make(chan struct{})}
	p.mu.Lock()
	p.nodes[n.Name] = h
	p.mu.Unlock()
	p.group.Go(func() {
		defer close(h.done)
		node.Run(ctx)
	})
	return newMemberRecord(node.Self()), nil
}

// install marks a revision as in force at a node at once, and records the time. A real node would put the revision in force
// between two inputs of its core.
func (p *hollowProcess) install(name string, r live.Revision) {
	p.mu.Lock()
	h := p.nodes[name]
	p.mu.Unlock()
	if h == nil { // the node has ended
		return
	}
	h.node.SetInForce(r, nil)
	p.inForce.recordInstalled(name, configfeed.Version{Epoch: r.Epoch, Revision: r.Number}, time.Now())
}

// traffic returns the node's traffic since its start, including the requests of its follower to control servers.
func (h *hostedNode) traffic() []view.Traffic {
	return addTraffic(h.node.Traffic(), controlTraffic(h.node.Config()))
}

// end stops nodes one by one and waits until each has ended. If leave is set, each node first announces that it leaves;
// otherwise it sends nothing.
func (p *hollowProcess) end(names []string, leave bool) error {
	for _, name := range names {
		h := p.nodes[name]
		if h == nil {
			return fmt.Errorf("node %s is not running", name)
		}
		if leave {
			h.node.Leave()
		}
		h.stop()
		<-h.done
		p.endedTraffic = addTraffic(p.endedTraffic, h.traffic())
		p.mu.Lock()
		delete(p.nodes, name)
		p.mu.Unlock()
	}
	return nil
}

// report returns the report of this process, with the digests of the nodes' views if digests is set.
func (p *hollowProcess) report(digests bool) *report {
	r := &report{Nodes: len(p.nodes), Traffic: slices.Clone(p.endedTraffic), LiveCounts: map[int]countRange{},
		Digests: map[uint64]int{}}
	for _, h := range p.nodes {
		r.Traffic = addTraffic(r.Traffic, h.traffic())
		r.PendingUpdates += h.node.PendingUpdates()
		if digests {
			r.Digests[h.node.Digest()]++
		}
		r.LiveCounts[h.plan.Region] = r.LiveCounts[h.plan.Region].include(h.node.LiveCount())
	}
	r.Detections, r.InForceDelays = p.watch.report(), p.inForce.snapshot()
	return r
}

// check counts the disagreements of all nodes' views with the members that are expected to be live in each node's region,
// and describes the first one.
func (p *hollowProcess) check(expected []expectation) (wrong int, first string) {
	byRegion := map[int]map[string]bool{}
	for _, e := range expected {
		byRegion[e.Region] = map[string]bool{}
		for _, name := range e.Names {
			byRegion[e.Region][name] = true
		}
	}
	for _, h := range p.nodes {
		n, why := disagreement(h.node.View(), byRegion[h.plan.Region])
		if wrong += n; first == "" {
			first = why
		}
	}
	return wrong, first
}

// disagreement counts the members that a view lacks, sees as live though they are not in running, or sees as not live
// though they are, and describes the first one. Alive and suspect members count as live.
func disagreement(v view.View, running map[string]bool) (wrong int, first string) {
	known := 0
	for _, m := range v.Members {
		live := m.State == membership.Alive.String() || m.State == membership.Suspect.String()
		if running[m.Name] {
			known++
		}
		if live == running[m.Name] {
			continue
		}
		if wrong++; wrong == 1 {
			first = fmt.Sprintf("%s sees %s as %s", v.Self, m.Name, m.State)
		}
	}
	if missing := len(running) - known; missing > 0 {
		wrong += missing
		first = cmp.Or(first, fmt.Sprintf("%s knows %d of %d members", v.Self, known, len(running)))
	}
	return wrong, first
}

// addTraffic adds the counts of more to those of the same kind in sum.
func addTraffic(sum, more []view.Traffic) []view.Traffic {
	for _, t := range more {
		i := slices.IndexFunc(sum, func(s view.Traffic) bool { return s.Kind == t.Kind })
		if i < 0 {
			sum = append(sum, t)
			continue
		}
		s := &sum[i]
		s.SentMessages += t.SentMessages
		s.SentBytes += t.SentBytes
		s.ReceivedMessages += t.ReceivedMessages
		s.ReceivedBytes += t.ReceivedBytes
	}
	return sum
}
