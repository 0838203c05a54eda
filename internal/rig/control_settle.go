package rig

import (
	"context"
	"fmt"
	"strings"
	"time"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
)

// settle waits, after all faults, until the writer's version is in force; where the writer is not ready by then, an
// operator starts a new epoch. Then a last change has to come into force, and the writer is asked for its entries.
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
		return fmt.Errorf("reading the state of the writer: %w", err)
	}
	c.apply(ctx, from, c.nextID())
	if err := c.awaitInForce(ctx); err != nil {
		return err
	}
	last, err := c.state(ctx)
	if err != nil {
		return fmt.Errorf("reading the state of the writer: %w", err)
	}
	c.record(eventHeldProposals, ControlEvent{Version: last.Version, Digest: digestText(last.Digest), ProposalIDs: marksOf(last)})
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
func (c *control) inForceTimeout() time.Duration {
	return time.Duration(c.rig.script.InForceTimeout * 1e9)
}

// newEpoch starts a new epoch, as an operator does.
func (c *control) newEpoch(ctx context.Context) (configfeed.Outcome, error) {
	from, err := c.state(ctx)
	if err != nil {
		return configfeed.Outcome{}, err
	}
	outcome, err := c.client.BeginEpoch(ctx, c.writer().address, feedhttp.EpochRequest{IfVersion: from.Version, Author: "rig"})
	c.record(eventEpoch, ControlEvent{Outcome: string(outcome.Kind), Version: outcome.Version, Digest: digestText(from.Digest)})
	return outcome, err
}

// awaitInForce waits until all nodes have the writer's version in force, for the stated time at most, and records how
// that ended.
func (c *control) awaitInForce(ctx context.Context) error {
	c.record(eventAwaitInForce, ControlEvent{})
	behind := "the writer does not answer"
	for end := time.Now().Add(c.inForceTimeout()); time.Now().Before(end); {
		want, err := c.state(ctx)
		if err == nil {
			behind = c.nodesBehind(ctx, want)
		}
		if err == nil && behind == "" {
			c.record(eventInForce, ControlEvent{Version: want.Version})
			return nil
		}
		if err := sleep(ctx, configPollInterval); err != nil {
			return err
		}
	}
	c.rig.history.add(Event{Kind: eventNotInForce, Note: behind})
	return nil
}

// nodesBehind describes the running nodes that do not have a state in force; it is empty if there are none.
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

// marksOf returns the IDs of the proposals that entries of a state identify.
func marksOf(s configfeed.State) (ids []string) {
	for _, e := range s.Entries {
		if id, ok := strings.CutPrefix(e.Key, markPrefix); ok {
			ids = append(ids, strings.TrimSuffix(id, markSuffix))
		}
	}
	return ids
}
