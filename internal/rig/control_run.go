package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
	"gorseledge/internal/fleet/view"
)

const (
	configPollInterval = 50 * time.Millisecond // interval between requests for the configuration of a node or the writer
	applyTimeout       = 5 * time.Second       // time limit of one request to the writer
	firstApplyTimeout  = 20 * time.Second      // time limit for a newly started writer to accept a change

	// proposalKeyPrefix and proposalKeySuffix enclose the ID of a proposal in the key of the entry that identifies the proposal.
	proposalKeyPrefix = "tenants.mark-"
	proposalKeySuffix = ".connections"
)

// controlLink identifies the connection from a node or a control server to a control server, both by index.
type controlLink struct {
	server   bool // from is a control server; otherwise it is a node
	from, to int
}

// control owns the control servers of a run and the relays to them, and proposes changes of the configuration.
type control struct {
	rig     *Rig
	servers []*controlServer
	relays  map[controlLink]*Relay
	client  *feedhttp.Client
	random  *rand.Rand

	mu            sync.Mutex          // protects the fields below
	cuts          map[controlLink]int // number of active faults that cut each link
	proposalCount int                 // number of proposals so far
}

func newControl(r *Rig) *control {
	return &control{rig: r, relays: map[controlLink]*Relay{}, cuts: map[controlLink]int{},
		client: feedhttp.NewClient(r.fleetName(), [][]byte{[]byte(fleetKey)}, nil),
		random: rand.New(rand.NewPCG(r.Seed, controlRandomStream+1))}
}

// fleetName is the fleet's id.
func (r *Rig) fleetName() string { return fmt.Sprintf("rig-%d", r.Seed) }

func (c *control) addRelay(l controlLink, address string) (err error) {
	c.relays[l], err = NewRelay(address, c.rig.Seed*1000+uint64(500000+l.from*100+l.to))
	return err
}

// close kills the servers and closes the relays to them.
func (c *control) close() {
	for _, s := range c.servers {
		s.kill()
	}
	for _, relay := range c.relays {
		if relay != nil {
			relay.Close()
		}
	}
	c.client.Close()
}

func (c *control) writer() *controlServer { return c.servers[0] }

func (c *control) record(kind string, e ControlEvent) {
	c.rig.history.add(Event{Kind: kind, Control: &e})
}

// runWithFaults injects the faults of nodes and control servers, proposes changes of the configuration during them, and
// afterwards waits until the configuration is in force.
func (c *control) runWithFaults(ctx context.Context, nodeFaults func() error) error {
	if err := c.awaitFirstChange(ctx); err != nil {
		return err
	}
	watching, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer stopWatching()
	for _, n := range c.rig.nodes {
		watchers.Go(func() { c.watch(watching, n) })
	}
	if err := c.awaitInForce(ctx); err != nil {
		return err
	}
	for _, s := range c.servers {
		if err := s.copyData(); err != nil {
			return err
		}
	}
	applying, stopApplying := context.WithCancel(ctx)
	var appliers sync.WaitGroup
	appliers.Go(func() { c.proposeChanges(applying) })
	group := new(errgroup.Group)
	group.Go(nodeFaults)
	group.Go(func() error { return c.applyFaults(ctx) })
	err := group.Wait()
	stopApplying()
	appliers.Wait()
	if err != nil {
		return err
	}
	return c.settle(ctx)
}

// awaitFirstChange makes proposals until the writer accepts one. It returns an error after firstApplyTimeout.
func (c *control) awaitFirstChange(ctx context.Context) error {
	outcome := ""
	for end := time.Now().Add(firstApplyTimeout); time.Now().Before(end); {
		if outcome = c.apply(ctx, configfeed.State{}, c.nextID()); outcome == string(configfeed.Accepted) {
			return nil
		}
		if err := sleep(ctx, configPollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("the writer accepted no change within %v of its start, last outcome: %s", firstApplyTimeout, outcome)
}

// sleep waits for a duration. If the context ends first, sleep returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *control) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proposalCount++
	return fmt.Sprint(c.proposalCount)
}

// apply proposes the entries of a state and one more, which identifies the proposal. It records and returns the outcome.
func (c *control) apply(ctx context.Context, from configfeed.State, id string) string {
	entries := append([]configfeed.Entry{{Key: proposalKeyPrefix + id + proposalKeySuffix, Value: "1000"}}, from.Entries...)
	next, err := configfeed.NewState(configfeed.Version{}, entries)
	if err != nil {
		return err.Error()
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	began := c.rig.history.now()
	outcome, err := c.client.Apply(ctx, c.writer().address, configfeed.Proposal{ID: feedhttp.NewProposalID(),
		IfVersion: from.Version, Entries: next.Entries, Author: "rig", Note: id})
	e := ControlEvent{ID: id, Outcome: string(outcome.Kind), Version: outcome.Version, Digest: digestText(next.Digest)}
	note := outcome.Detail
	if err != nil {
		e.Outcome, e.Version, note = outcomeUnknown, configfeed.Version{}, err.Error()
	}
	c.rig.history.add(Event{Kind: eventProposal, StartedAt: began, Note: note, Control: &e})
	return e.Outcome
}

func digestText(d configfeed.Digest) string { return fmt.Sprintf("%016x", uint64(d)) }

// state returns the writer's newest state.
func (c *control) state(ctx context.Context) (configfeed.State, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	status, err := c.client.Status(ctx, c.writer().address)
	if err != nil {
		return configfeed.State{}, err
	}
	return c.client.State(ctx, c.writer().address, status.Version.Revision)
}

// proposeChanges proposes changes at random times until the context ends. Every third time it proposes two at once that are
// based on the same version, of which the writer can accept only one.
func (c *control) proposeChanges(ctx context.Context) {
	if c.rig.script.ChangeRate <= 0 {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for count := 0; ; count++ {
		if sleep(ctx, time.Duration(c.random.ExpFloat64()/c.rig.script.ChangeRate*1e9)) != nil {
			return
		}
		group.Go(func() {
			from, err := c.state(ctx)
			if err != nil {
				return
			}
			var proposals sync.WaitGroup
			for range concurrentProposals(count) {
				proposals.Go(func() { c.apply(context.WithoutCancel(ctx), from, c.nextID()) })
			}
			proposals.Wait()
		})
	}
}

// concurrentProposals returns the number of proposals to base on the same version: two every third time, otherwise one.
func concurrentProposals(count int) int {
	if count%3 == 2 {
		return 2
	}
	return 1
}

// watch polls a node for the configuration that it has in force and records each change of it, until the context ends. Failed
// requests are skipped: the node may be down.
func (c *control) watch(ctx context.Context, n *node) {
	var last ControlEvent
	for sleep(ctx, configPollInterval) == nil {
		v, err := c.config(ctx, n)
		if err != nil {
			continue
		}
		current := ControlEvent{Version: configfeed.Version{Epoch: v.Epoch, Revision: v.Revision}, Digest: v.Digest}
		if current.Version != last.Version || current.Digest != last.Digest {
			c.rig.history.add(Event{Kind: eventConfig, Node: n.index, Control: &current})
		}
		last = current
	}
}

// config reads the configuration that a node has in force.
func (c *control) config(ctx context.Context, n *node) (v view.Config, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.adminAddress+"/-/config", nil)
	if err != nil {
		return v, err
	}
	answer, err := c.rig.client.Do(request)
	if err != nil {
		return v, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return v, fmt.Errorf("reading the configuration of %s: status %s", n.name(), answer.Status)
	}
	return v, json.NewDecoder(io.LimitReader(answer.Body, 1<<20)).Decode(&v)
}
