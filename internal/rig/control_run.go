package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
	"gorseledge/internal/fleet/view"
)

// The values of Event.What that concern control servers and the configuration.
const (
	eventServerStart   = "server start"
	eventServerExit    = "server exit"   // the rig ended it
	eventServerDied    = "server died"   // it ended by itself
	eventControlFault  = "control fault" // began
	eventControlOver   = "control over"  // a fault of control servers ended
	eventApply         = "apply"         // a proposal was answered, or its answer was lost
	eventConfig        = "config"        // a node was seen with a version in force that it did not have before
	eventEpoch         = "epoch"         // the rig, as an operator, drew a new epoch
	eventAwait         = "await"         // from now on the writer's version has to come in force everywhere
	eventInForce       = "in force"      // it has
	eventLate          = "late"          // it has not, within the stated time
	eventMarks         = "marks"         // what the writer holds at the end
	outcomeUnknown     = "answer lost"   // of a proposal
	markPrefix         = "tenants.mark-" // of a key that names a proposal
	markSuffix         = ".connections"  // of the same key
	configPollInterval = 50 * time.Millisecond
	applyTimeout       = 5 * time.Second
	firstApplyTimeout  = 20 * time.Second
)

// ControlEvent is what an event says of control servers and the configuration.
type ControlEvent struct {
	Server  int                `json:"server,omitempty"`
	Fault   *ControlFault      `json:"fault,omitempty"`
	ID      string             `json:"id,omitempty"`      // of a proposal
	Outcome string             `json:"outcome,omitempty"` // of a proposal
	Version configfeed.Version `json:"version,omitzero"`
	Digest  string             `json:"digest,omitempty"` // of the entries
	Marks   []string           `json:"marks,omitempty"`  // IDs of the proposals whose marks the writer's entries hold
}

// link is the way from a node or a control server to a control server.
type link struct {
	server   bool
	from, to int
}

// control is the part of a run that concerns control servers.
type control struct {
	rig     *Rig
	servers []*controlServer
	relays  map[link]*Relay
	client  *feedhttp.Client
	random  *rand.Rand
	cuts    map[link]int // faults that cut a link, guarded by mu
	mu      sync.Mutex
	applied int
}

func newControl(r *Rig) *control {
	return &control{rig: r, relays: map[link]*Relay{}, cuts: map[link]int{},
		client: feedhttp.NewClient(r.fleetName(), [][]byte{[]byte(fleetKey)}, nil),
		random: rand.New(rand.NewPCG(r.Seed, controlRandomStream+1))}
}

// fleetName is the fleet's id.
func (r *Rig) fleetName() string { return fmt.Sprintf("rig-%d", r.Seed) }

func (c *control) addRelay(l link, address string) (err error) {
	c.relays[l], err = NewRelay(address, c.rig.Seed*1000+uint64(500000+l.from*100+l.to))
	return err
}

// close ends the servers and the relays to them.
func (c *control) close() {
	for _, s := range c.servers {
		s.kill()
	}
	for _, l := range c.relays {
		if l != nil {
			l.Close()
		}
	}
	c.client.Close()
}

func (c *control) writer() *controlServer { return c.servers[0] }

func (c *control) record(what string, e ControlEvent) {
	c.rig.history.add(Event{What: what, Control: &e})
}

// runWithFaults has changes of configuration go on while nodes and servers have their faults, and waits until the configuration is
// in force after them.
func (c *control) runWithFaults(ctx context.Context, nodeFaults func() error) error {
	if err := c.firstChange(ctx); err != nil {
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
		if err := s.keepCopy(); err != nil {
			return err
		}
	}
	applying, stopApplying := context.WithCancel(ctx)
	var appliers sync.WaitGroup
	appliers.Go(func() { c.applyAll(applying) })
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

// firstChange waits until the writer takes proposals and has a first one accepted.
func (c *control) firstChange(ctx context.Context) error {
	last := ""
	for end := time.Now().Add(firstApplyTimeout); time.Now().Before(end); {
		if last = c.apply(ctx, configfeed.State{}, c.nextID()); last == string(configfeed.Accepted) {
			return nil
		}
		if err := sleep(ctx, configPollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("the control servers took no change within %v: %s", firstApplyTimeout, last)
}

// sleep waits unless the context ends.
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
	c.applied++
	return fmt.Sprint(c.applied)
}

// apply proposes the entries of a state with a mark of the proposal's own, and records and gives the outcome.
func (c *control) apply(ctx context.Context, from configfeed.State, id string) string {
	entries := append([]configfeed.Entry{{Key: markPrefix + id + markSuffix, Value: "1000"}}, from.Entries...)
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
	c.rig.history.add(Event{What: eventApply, Began: began, Note: note, Control: &e})
	return e.Outcome
}

func digestText(d configfeed.Digest) string { return fmt.Sprintf("%016x", uint64(d)) }

// state gives the writer's newest state.
func (c *control) state(ctx context.Context) (configfeed.State, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	status, err := c.client.Status(ctx, c.writer().address)
	if err != nil {
		return configfeed.State{}, err
	}
	return c.client.State(ctx, c.writer().address, status.Version.Revision)
}

// applyAll proposes changes until the context ends; each third time two at once, on top of the same version.
func (c *control) applyAll(ctx context.Context) {
	if c.rig.script.Applies <= 0 {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for count := 0; ; count++ {
		if sleep(ctx, time.Duration(c.random.ExpFloat64()/c.rig.script.Applies*1e9)) != nil {
			return
		}
		group.Go(func() {
			from, err := c.state(ctx)
			if err != nil {
				return
			}
			var both sync.WaitGroup
			for range 1 + count%3/2 {
				both.Go(func() { c.apply(context.WithoutCancel(ctx), from, c.nextID()) })
			}
			both.Wait()
		})
	}
}

// watch records each version that a node has in force, until the context ends.
func (c *control) watch(ctx context.Context, n *node) {
	var last ControlEvent
	for sleep(ctx, configPollInterval) == nil {
		v, err := c.config(ctx, n)
		if err != nil {
			continue
		}
		now := ControlEvent{Version: configfeed.Version{Epoch: v.Epoch, Revision: v.Revision}, Digest: v.Digest}
		if now.Version != last.Version || now.Digest != last.Digest {
			c.rig.history.add(Event{What: eventConfig, Node: n.index, Control: &now})
		}
		last = now
	}
}

// config asks a node which configuration it has in force.
func (c *control) config(ctx context.Context, n *node) (v view.Config, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.admin+"/-/config", nil)
	if err != nil {
		return v, err
	}
	answer, err := c.rig.client.Do(request)
	if err != nil {
		return v, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return v, fmt.Errorf("%s answers %s", n.name(), answer.Status)
	}
	return v, json.NewDecoder(io.LimitReader(answer.Body, 1<<20)).Decode(&v)
}

// settle waits, after all faults, until the writer's version is in force; where the writer is not ready by then, an
// operator draws a new epoch. Then a last change has to come in force, and the writer is asked what it holds.
func (c *control) settle(ctx context.Context) error {
	if c.awaitReady(ctx) != nil {
		outcome, err := c.newEpoch(ctx)
		c.rig.progressf("new epoch: %+v, %v", outcome, err)
	}
	if err := c.awaitInForce(ctx); err != nil {
		return err
	}
	from, err := c.state(ctx)
	if err != nil {
		return fmt.Errorf("the writer does not say what it holds: %w", err)
	}
	c.apply(ctx, from, c.nextID())
	if err := c.awaitInForce(ctx); err != nil {
		return err
	}
	last, err := c.state(ctx)
	if err != nil {
		return fmt.Errorf("the writer does not say what it holds: %w", err)
	}
	c.record(eventMarks, ControlEvent{Version: last.Version, Digest: digestText(last.Digest), Marks: marksOf(last)})
	return nil
}

// awaitReady waits for the stated time at most until the writer takes proposals.
func (c *control) awaitReady(ctx context.Context) error {
	reason := ""
	for end := time.Now().Add(c.inForceTimeout()); time.Now().Before(end); {
		status, err := c.client.Status(ctx, c.writer().address)
		if err == nil && status.NotReady == "" {
			return nil
		}
		reason = fmt.Sprint(status.NotReady, err)
		if err := sleep(ctx, configPollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("the writer is not ready: %s", reason)
}

// inForceTimeout is the time within which a change is to be in force.
func (c *control) inForceTimeout() time.Duration { return time.Duration(c.rig.script.InForce * 1e9) }

// newEpoch draws a new epoch, as an operator does.
func (c *control) newEpoch(ctx context.Context) (configfeed.Outcome, error) {
	from, err := c.state(ctx)
	if err != nil {
		return configfeed.Outcome{}, err
	}
	outcome, err := c.client.NewEpoch(ctx, c.writer().address, feedhttp.EpochRequest{IfVersion: from.Version, Author: "rig"})
	c.record(eventEpoch, ControlEvent{Outcome: string(outcome.Kind), Version: outcome.Version, Digest: digestText(from.Digest)})
	return outcome, err
}

// awaitInForce waits until all nodes have the writer's version in force, for the stated time at most, and records how
// that ended.
func (c *control) awaitInForce(ctx context.Context) error {
	c.record(eventAwait, ControlEvent{})
	behind := "the writer does not answer"
	for end := time.Now().Add(c.inForceTimeout()); time.Now().Before(end); {
		if want, err := c.state(ctx); err == nil {
			if behind = c.nodesBehind(ctx, want); behind == "" {
				c.record(eventInForce, ControlEvent{Version: want.Version})
				return nil
			}
		}
		if err := sleep(ctx, configPollInterval); err != nil {
			return err
		}
	}
	c.rig.history.add(Event{What: eventLate, Note: behind})
	return nil
}

// nodesBehind names the nodes that run and do not have a state in force; empty where there are none.
func (c *control) nodesBehind(ctx context.Context, want configfeed.State) string {
	var names []string
	for _, n := range c.rig.nodes {
		if !n.up() {
			continue
		}
		v, err := c.config(ctx, n)
		if err != nil || v.Epoch != want.Version.Epoch || v.Revision != want.Version.Revision ||
			v.Digest != digestText(want.Digest) {
			names = append(names, fmt.Sprintf("%s at %d:%d, not %s", n.name(), v.Epoch, v.Revision, want.Version))
		}
	}
	return strings.Join(names, ", ")
}

// marksOf gives the IDs of the proposals whose marks a state holds.
func marksOf(s configfeed.State) (ids []string) {
	for _, e := range s.Entries {
		if id, ok := strings.CutPrefix(e.Key, markPrefix); ok {
			ids = append(ids, strings.TrimSuffix(id, markSuffix))
		}
	}
	return ids
}
