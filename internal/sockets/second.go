package sockets

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"gorseledge/internal/admin"
	"gorseledge/internal/node"
)

// question is one for the core; the answer is taken at once.
type question struct {
	node.Query
	answer chan<- node.Reply
}

// ask puts a question to the core.
func (d *door) ask(ctx context.Context, q node.Query) (node.Reply, bool) {
	answer := make(chan node.Reply, 1)
	select {
	case d.asks <- question{q, answer}:
	case <-ctx.Done():
		return node.Reply{}, false
	case <-d.ctx.Done():
		return node.Reply{}, false
	}
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	return node.Reply{}, false
}

// second opens the second address, if there is to be one.
func (d *door) second(ctx context.Context) error {
	if d.config.Admin == "" {
		return nil
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", d.config.Admin)
	taken := errors.Is(err, syscall.EADDRINUSE)
	if err != nil && !(taken && d.predecessor != nil) {
		return fmt.Errorf("admin_addr: %w", err)
	}
	d.group.Go(func() error {
		for taken { // the predecessor's, under the same config: its own once that is gone
			select {
			case <-time.After(again):
			case <-ctx.Done():
				return nil
			}
			if ln, err = lc.Listen(ctx, "tcp", d.config.Admin); err == nil {
				break
			}
		}
		d.log.Info().Str("admin_addr", ln.Addr().String()).Int("callers", d.config.callers()).Msg("second address")
		return admin.Serve(ctx, ln, d.config.callers(), d.ask, d.view())
	})
	return nil
}
