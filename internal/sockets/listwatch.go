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

// errOverridden is the cause with which a call is canceled because a concurrent call was answered first.
var errOverridden = errors.New("a concurrent call was answered first")

// discoveryWatch is the watch of the endpoint list. Only the loop uses it.
type discoveryWatch struct {
	client      *discovery.Client
	liveAddress string     // discovery's address in the live settings; empty if the config's is used
	calls       []listCall // calls in progress, oldest first; the first one that is answered ends the others
}

// listCall is a call for the endpoint list. Once discovery answers, the same call is the watch of the list.
type listCall struct {
	ctx context.Context
	end context.CancelCauseFunc
}

// stop ends all calls.
func (w *discoveryWatch) stop() {
	for _, call := range w.calls {
		call.end(nil)
	}
	w.calls = nil
}

// endExcess ends calls so that another one can wait beside the others. The oldest call is kept, since a discovery that queues
// calls answers it first; the one that is ended is the second oldest.
func (w *discoveryWatch) endExcess() {
	for len(w.calls) >= node.MaxWaitingCalls {
		w.calls[1].end(nil)
		w.calls = slices.Delete(w.calls, 1, 2)
	}
}

// begin adds a call. With keepPrevious, the calls that wait stay open beside it; otherwise it replaces them.
func (w *discoveryWatch) begin(ctx context.Context, keepPrevious bool) listCall {
	if keepPrevious {
		w.endExcess()
	} else {
		w.stop()
	}
	ctx, end := context.WithCancelCause(ctx)
	call := listCall{ctx: ctx, end: end}
	w.calls = append(w.calls, call)
	return call
}

// alive handles the sign that discovery answers a call: the answer has begun, or bytes of it have arrived. All other
// calls end.
func (w *discoveryWatch) alive(call context.Context, midLine bool) node.Input {
	if call.Err() != nil { // already canceled: its bytes say nothing about the watch that replaced it
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

// listReceived handles a list from a call. A list that a watch received before it was ended as silent is valid. A
// list from an overridden call is dropped, since it may be older than the list of the call that was answered first.
func (w *discoveryWatch) listReceived(call context.Context, list endpoint.List) node.Input {
	if errors.Is(context.Cause(call), errOverridden) {
		return nil
	}
	return node.ListReceived{List: list}
}

// failed handles the end of a call. The watch has failed once no other call is in progress.
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

// setLiveDiscovery sets discovery's address to that of the live settings, or to the config's if address is empty.
func (s *server) setLiveDiscovery(address string) {
	s.discovery.liveAddress = address
	current := cmp.Or(address, s.config.Discovery)
	s.discovery.client = discovery.New(current)
	s.log.Info().Str("discovery", current).Bool("live", address != "").Msg("discovery set by the live settings")
}
