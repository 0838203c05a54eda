package sockets

import (
	"context"
	"errors"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
)

var errOutpaced = errors.New("a call beside it was answered first")

// call is a call for the list, or the watch that it became.
type call struct {
	ctx context.Context
	end context.CancelCauseFunc
}

// unwatch ends all calls for the list but so many of the oldest.
func (d *door) unwatch(but int) {
	but = min(but, len(d.calls))
	for _, c := range d.calls[but:] {
		c.end(nil)
	}
	d.calls = d.calls[:but]
}

// watch begins a watch of the list in place of those before, or beside the oldest call, which discovery answers first.
func (d *door) watch(e node.Watch) {
	if e.Beside {
		d.unwatch(1)
	} else {
		d.unwatch(0)
	}
	ctx, end := context.WithCancelCause(d.ctx)
	d.calls = append(d.calls, call{ctx, end})
	client := d.roster
	d.group.Go(func() error {
		err := client.Watch(ctx, e.Index, func(within bool) { d.send(spoke{ctx, within}) },
			func(l endpoint.List) { d.send(listed{ctx, l}) })
		if ctx.Err() == nil {
			d.send(unwatched{ctx, err.Error()})
		}
		return nil
	})
}
