package rig

import (
	"context"
	"fmt"
	"strings"
	"time"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
)

// settle runs after all faults. If the writer does not become ready, it starts a new epoch, as an operator would. It waits
// until the writer's version is in force, makes a last proposal, waits until that is in force, and records the proposals
// that the writer then holds.
func (c *control) settle(ctx context.Context) error {
	if c.awaitReady(ctx) != nil {
		outcome, err := c.newEpoch(ctx)
		c.rig.progressf("the writer is not ready; starting a new epoch: outcome %+v, error %v", outcome, err)
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
	c.record(eventHeldProposals, ControlEvent{Version: last.Version, Digest: digestText(last.Digest),
		ProposalIDs: heldProposalIDs(last)})
	return nil
}

// awaitReady waits until the writer is ready for proposals. It returns an error after the in_force time or if the context ends.
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
	return fmt.Errorf("the writer is not ready for proposals after %v: %s", c.inForceTimeout(), reason)
}

// inForceTimeout returns the time within which a change must be in force.
func (c *control) inForceTimeout() time.Duration {
	return time.Duration(c.rig.script.InForceTimeout * 1e9)
}

// newEpoch starts a new epoch, as an operator would.
func (c *control) newEpoch(ctx context.Context) (configfeed.Outcome, error) {
	from, err := c.state(ctx)
	if err != nil {
		return configfeed.Outcome{}, err
	}
	outcome, err := c.client.BeginEpoch(ctx, c.writer().address, feedhttp.EpochRequest{IfVersion: from.Version, Author: "rig"})
	c.record(eventEpoch, ControlEvent{Outcome: string(outcome.Kind), Version: outcome.Version, Digest: digestText(from.Digest)})
	return outcome, err
}

// awaitInForce waits until all running nodes have the writer's version in force, for at most the in_force time. It records the
// outcome as eventInForce or eventNotInForce, and returns an error only if the context ends.
func (c *control) awaitInForce(ctx context.Context) error {
	c.record(eventAwaitInForce, ControlEvent{})
	behind := "reading the state of the writer failed"
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

// nodesBehind describes the running nodes that do not have a state in force. It returns an empty string if all have it.
func (c *control) nodesBehind(ctx context.Context, want configfeed.State) string {
	var behind []string
	for _, n := range c.rig.nodes {
		if !n.up() {
			continue
		}
		v, err := c.config(ctx, n)
		if err != nil || v.Epoch != want.Version.Epoch || v.Revision != want.Version.Revision ||
			v.Digest != digestText(want.Digest) {
			behind = append(behind, fmt.Sprintf("%s at version %d:%d, not %s", n.name(), v.Epoch, v.Revision, want.Version))
		}
	}
	return strings.Join(behind, ", ")
}

// heldProposalIDs returns the IDs of the proposals whose identifying entries a state contains.
func heldProposalIDs(s configfeed.State) (ids []string) {
	for _, e := range s.Entries {
		if id, ok := strings.CutPrefix(e.Key, proposalKeyPrefix); ok {
			ids = append(ids, strings.TrimSuffix(id, proposalKeySuffix))
		}
	}
	return ids
}
