package fleet

import (
	"context"
	"net"
	"time"

	"gorseledge/internal/membership"
	"gorseledge/internal/peers"
)

const (
	reopenDelay       = 50 * time.Millisecond // time between two attempts to open the socket
	nodeCountInterval = time.Second           // time between two updates of the number of nodes
	maxTickSeconds    = 3600                  // longest duration of the timer; the core's next tick may be at infinity
)

// runMember runs the membership protocol until the context ends or the node has left the fleet. It waits while another
// process of the node is the member.
func (f *Fleet) runMember(ctx context.Context) error {
	for ctx.Err() == nil {
		f.mu.Lock()
		handedOver, left := f.handedOver, f.left
		f.mu.Unlock()
		if left {
			return nil
		}
		if handedOver {
			f.wake.wait(ctx)
			continue
		}
		socket, err := f.openSocket(ctx)
		if err != nil {
			f.log.Debug().Err(err).Msg("cannot open the socket for fleet messages; will retry")
			sleep(ctx, reopenDelay)
			continue
		}
		f.serve(ctx, socket)
	}
	return nil
}

// openSocket opens a socket at the node's address. It fails with net.ErrClosed if the membership was handed over, or the
// node left, while the socket was being opened.
func (f *Fleet) openSocket(ctx context.Context) (*peers.Socket, error) {
	socket, err := peers.Open(ctx, f.config.Address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.handedOver || f.left {
		socket.Close()
		return nil, net.ErrClosed
	}
	f.socket = socket
	f.log.Info().Str("fleet", f.config.Fleet).Str("address", f.config.Address).Msg("member of a fleet")
	return socket, nil
}

// closeSocket closes the socket, if it is open. The caller holds the lock.
func (f *Fleet) closeSocket() {
	if f.socket == nil {
		return
	}
	f.socket.Close()
	f.socket = nil
}

// serve receives datagrams and runs the core's ticks until the socket is closed. It waits for the goroutine that reads the
// socket before it returns.
func (f *Fleet) serve(ctx context.Context, socket *peers.Socket) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		socket.Serve(ctx, maxDatagramBytes, f.receiveDatagram)
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	nodeCount := time.NewTicker(nodeCountInterval)
	defer nodeCount.Stop()
	for {
		select {
		case <-timer.C:
			f.apply(func(now float64) []membership.Effect { return f.core.Tick(now) })
		case <-nodeCount.C:
			f.updateNodeCount()
		case <-f.wake:
		case <-closed:
			return
		}
		timer.Reset(f.untilTick())
	}
}

// untilTick returns the time until the core's next tick is due, up to maxTickSeconds.
func (f *Fleet) untilTick() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	seconds := min(max(f.core.NextTick()-f.now(), 0), maxTickSeconds)
	return time.Duration(seconds * 1e9)
}
