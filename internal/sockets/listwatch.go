package sockets

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"gorseledge/internal/discovery"
	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
)

// errOverridden ends a call because another call beside it was answered first.
var errOverridden = errors.New("a call beside it was answered first")

// discoveryWatch is the watch of the endpoint list. It belongs to the loop.
type discoveryWatch struct {
	client      *discovery.Client
	liveAddress string     // discovery's address by the live settings; empty for the config's
	calls       []listCall // under way, oldest first; once one is answered it is the only one
}

// listCall is a call for the list, or the watch that it became.
type listCall struct {
	ctx context.Context
	end context.CancelCauseFunc
}

// stop ends all calls but so many of the oldest.
func (w *discoveryWatch) stop(keep int) {
	keep = min(keep, len(w.calls))
	for _, call := range w.calls[keep:] {
		call.end(nil)
	}
	w.calls = w.calls[:keep]
}

// begin adds a call. With beside, the oldest call waits on for its answer, since discovery answers it first;
// otherwise the new one takes the place of all.
func (w *discoveryWatch) begin(ctx context.Context, beside bool) listCall {
	if beside {
		w.stop(1)
	} else {
		w.stop(0)
	}
	ctx, end := context.WithCancelCause(ctx)
	call := listCall{ctx: ctx, end: end}
	w.calls = append(w.calls, call)
	return call
}

// alive takes a sign of life from a call, which ends all others.
func (w *discoveryWatch) alive(call context.Context, midLine bool) node.Input {
	if call.Err() != nil { // canceled meanwhile: it says nothing about the watch that took its place
		return nil
	}
	w.calls = slices.DeleteFunc(w.calls, func(c listCall) bool {
		if c.ctx == call {
			return false
		}
		c.end(errOverridden)
		return true
	})
	return node.WatchAlive{MidLine: midLine}
}

// listReceived takes a list from a call. What a watch said before it was given up as silent counts; that of an
// overridden call does not, since it may be older than what the other call brought.
func (w *discoveryWatch) listReceived(call context.Context, list endpoint.List) node.Input {
	if errors.Is(context.Cause(call), errOverridden) {
		return nil
	}
	return node.ListReceived{List: list}
}

// failed takes the end of a call, which is a failure once no other is left.
func (w *discoveryWatch) failed(call context.Context, reason string) node.Input {
	if call.Err() != nil {
		return nil
	}
	w.calls = slices.DeleteFunc(w.calls, func(c listCall) bool {
		if c.ctx != call {
			return false
		}
		c.end(nil)
		return true
	})
	if len(w.calls) > 0 {
		return nil
	}
	return node.WatchFailed{Reason: reason}
}

// watchList begins a call for the list.
func (s *server) watchList(e node.Watch) {
	call := s.discovery.begin(s.ctx, e.KeepPrevious)
	client := s.discovery.client
	ctx := call.ctx
	alive := func(midLine bool) {
		s.do(func() node.Input { return s.discovery.alive(ctx, midLine) })
	}
	listed := func(list endpoint.List) {
		s.do(func() node.Input { return s.discovery.listReceived(ctx, list) })
	}
	s.group.Go(func() error {
		err := client.Watch(ctx, e.Index, alive, listed)
		if ctx.Err() == nil {
			s.do(func() node.Input { return s.discovery.failed(ctx, err.Error()) })
		}
		return nil
	})
}

// setLiveDiscovery takes discovery's address from the live settings; the empty one stands for the config's.
func (s *server) setLiveDiscovery(address string) {
	s.discovery.liveAddress = address
	current := cmp.Or(address, s.config.Discovery)
	s.discovery.client = discovery.New(current)
	s.log.Info().Str("discovery", current).Bool("live", address != "").Msg("discovery set by the live settings")
}
