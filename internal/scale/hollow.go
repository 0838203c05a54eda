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

const watchGap = 250 * time.Millisecond // between two looks at whether members are back

// hollowProcess hosts hollow nodes: each is a fleet.Fleet with its socket and timers, as a real node runs it, and
// nothing of the clients' side. Its log is formatted and dropped.
type hollowProcess struct {
	ctx     context.Context
	change  func(*hollowNode)
	watch   *watch
	inForce *inForce
	cut     atomic.Pointer[cutNetwork]
	regions map[netip.AddrPort]int
	mu      sync.Mutex // over nodes
	nodes   map[string]*hollow
	ended   []view.Traffic // of nodes that do not run any more
	group   sync.WaitGroup
}

// hollow is one node.
type hollow struct {
	plan hollowNode
	part *fleet.Fleet
	stop context.CancelFunc
	done chan struct{}
}

// cutNetwork says which regions hear only themselves.
type cutNetwork struct{ regions map[int]bool }

// drops tells whether nothing passes between two regions.
func (c *cutNetwork) drops(a, b int) bool {
	return c != nil && a != b && (c.regions[a] || c.regions[b])
}

// ServeHollow serves requests until the input or the context ends, and leaves nothing running.
func ServeHollow(ctx context.Context, in io.Reader, out io.Writer) error {
	return serveHollow(ctx, in, out, func(*hollowNode) {})
}

// serveHollow is ServeHollow with a change to every node before it starts, for a test's wrong nodes.
func serveHollow(ctx context.Context, in io.Reader, out io.Writer, change func(*hollowNode)) error {
	ctx, stop := context.WithCancel(ctx)
	p := &hollowProcess{ctx: ctx, change: change, watch: newWatch(), inForce: newInForce(), nodes: map[string]*hollow{}}
	defer p.group.Wait()
	defer stop()
	if c, ok := in.(io.Closer); ok { // so that no read outlasts the context
		defer context.AfterFunc(ctx, func() { c.Close() })()
	}
	p.group.Go(p.look)
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

// serve carries out one request.
func (p *hollowProcess) serve(r request) (a reply, err error) {
	switch r.Kind {
	case requestPlan:
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
	case requestWatch:
		p.watch.reset(r.Names)
	case requestMembers:
		for _, h := range p.nodes {
			a.Members = append(a.Members, factsOf(h.part.Self()))
		}
	case requestReturn:
		starts := map[string]uint64{}
		for _, m := range r.Members {
			starts[m.Name] = m.Start
		}
		p.watch.expect(starts)
	case requestChange:
		p.inForce.begin(r.Version)
	case requestReport:
		a.Report = p.report(r.Digests)
	case requestCheck:
		a.Wrong, a.First = p.check(r.Expected)
	default:
		return a, fmt.Errorf("no request is called %q", r.Kind)
	}
	return a, nil
}

// look looks from time to time whether the nodes know that members are back.
func (p *hollowProcess) look() {
	for sleep(p.ctx, watchGap.Seconds()) == nil {
		if !p.watch.looks() {
			continue
		}
		p.mu.Lock()
		nodes := slices.Collect(maps.Values(p.nodes))
		p.mu.Unlock()
		for _, h := range nodes {
			p.watch.look(h.plan.Name, h.part.Member)
		}
	}
}

// start starts a node, whose fleet file is read as a real node reads it.
func (p *hollowProcess) start(n hollowNode) (memberFacts, error) {
	if p.nodes[n.Name] != nil {
		return memberFacts{}, fmt.Errorf("%s runs already", n.Name)
	}
	p.change(&n)
	text, err := toml.Marshal(n.Fleet)
	if err != nil {
		return memberFacts{}, err
	}
	file, err := fleet.Parse(n.Name, text)
	if err != nil {
		return memberFacts{}, err
	}
	log := zerolog.New(io.Discard).With().Timestamp().Str("node", n.Name).Logger()
	part := fleet.New(file, view.Options{Name: n.Name, Build: n.Build, Seed: n.Seed, ConfiguredNodes: n.Settled, Log: log,
		NodesChanged: func(int) {}, Install: func(_ context.Context, revision live.Revision) ([]string, error) {
			p.install(n.Name, revision)
			return nil, nil
		}})
	part.Observe(func(c membership.Changed) { p.watch.see(n.Name, c.Name, c.State) })
	part.Filter(func(at netip.AddrPort) bool {
		region, known := p.regions[at]
		return known && p.cut.Load().drops(n.Region, region)
	})
	part.SetReady(true)
	ctx, stop := context.WithCancel(p.ctx)
	h := &hollow{plan: n, part: part, stop: stop, done: make(chan struct{})}
	p.mu.Lock()
	p.nodes[n.Name] = h
	p.mu.Unlock()
	p.group.Go(func() {
		defer close(h.done)
		part.Run(ctx)
	})
	return factsOf(part.Self()), nil
}

// install takes a revision at a node, where a real one would put it in force between two inputs of its core.
func (p *hollowProcess) install(name string, r live.Revision) {
	p.mu.Lock()
	h := p.nodes[name]
	p.mu.Unlock()
	if h == nil { // it has been ended meanwhile
		return
	}
	h.part.SetInForce(r)
	p.inForce.installed(name, configfeed.Version{Epoch: r.Epoch, Revision: r.Number}, time.Now())
}

// traffic is what the node sent and received, of its followers as well.
func (h *hollow) traffic() []view.Traffic {
	return addTraffic(h.part.Traffic(), controlTraffic(h.part.Config()))
}

// end ends nodes and waits for it. A node that does not leave in good order is not heard of again.
func (p *hollowProcess) end(names []string, leave bool) error {
	for _, name := range names {
		h := p.nodes[name]
		if h == nil {
			return fmt.Errorf("%s does not run", name)
		}
		if leave {
			h.part.Leave()
		}
		h.stop()
		<-h.done
		p.ended = addTraffic(p.ended, h.traffic())
		p.mu.Lock()
		delete(p.nodes, name)
		p.mu.Unlock()
	}
	return nil
}

// report sums up what the nodes have spent and know.
func (p *hollowProcess) report(digests bool) *report {
	r := &report{Nodes: len(p.nodes), Traffic: slices.Clone(p.ended), Living: map[int]spread{}, Digests: map[uint64]int{}}
	for _, h := range p.nodes {
		r.Traffic = addTraffic(r.Traffic, h.traffic())
		r.News += h.part.PendingUpdates()
		if digests {
			r.Digests[h.part.Digest()]++
		}
		r.Living[h.plan.Region] = r.Living[h.plan.Region].with(h.part.LiveCount())
	}
	r.Seen, r.InForce = p.watch.seen(), p.inForce.times()
	return r
}

// check counts the members that a node holds for living and does not run, or the other way round.
func (p *hollowProcess) check(expected []expectation) (wrong int, first string) {
	byRegion := map[int]map[string]bool{}
	for _, e := range expected {
		byRegion[e.Region] = map[string]bool{}
		for _, name := range e.Names {
			byRegion[e.Region][name] = true
		}
	}
	for _, h := range p.nodes {
		n, why := disagreement(h.part.View(), byRegion[h.plan.Region])
		if wrong += n; first == "" {
			first = why
		}
	}
	return wrong, first
}

// disagreement counts the members that a view holds wrongly or does not know.
func disagreement(v view.View, running map[string]bool) (wrong int, first string) {
	known := 0
	for _, m := range v.Members {
		living := m.State == membership.Alive.String() || m.State == membership.Suspect.String()
		if running[m.Name] {
			known++
		}
		if living == running[m.Name] {
			continue
		}
		if wrong++; wrong == 1 {
			first = fmt.Sprintf("%s holds %s for %s", v.Self, m.Name, m.State)
		}
	}
	if missing := len(running) - known; missing > 0 {
		wrong += missing
		first = cmp.Or(first, fmt.Sprintf("%s knows %d of %d", v.Self, known, len(running)))
	}
	return wrong, first
}

// addTraffic adds up counts, kind by kind.
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
