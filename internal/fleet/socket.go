package fleet

import (
	"context"
	"net"
	"time"

	"gorseledge/internal/membership"
	"gorseledge/internal/peers"
)

const (
	reopenDelay       = 50 * time.Millisecond // between two attempts to open the address
	nodeCountInterval = time.Second           // between two updates of the number of nodes
	maxTickSeconds    = 3600                  // longest time for which the timer is set
)

// runMember is a member until the context ends or the node has left the fleet. While another process of the node is the
// member, it waits.
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
			f.log.Debug().Err(err).Msg("cannot open the fleet's address")
			sleep(ctx, reopenDelay)
			continue
		}
		f.serve(ctx, socket)
	}
	return nil
}

// openSocket opens the node's address. It fails with net.ErrClosed where the membership was handed over meanwhile.
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

// closeSocket closes the node's address. The caller holds the lock.
func (f *Fleet) closeSocket() {
	if f.socket == nil {
		return
	}
	f.socket.Close()
	f.socket = nil
}

// serve receives datagrams and ticks until the socket is closed. The goroutine that reads the socket has ended when serve
// returns.
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

// untilTick returns the time until the core's next tick is due.
func (f *Fleet) untilTick() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	seconds := min(max(f.core.NextTick()-f.now(), 0), maxTickSeconds)
	return time.Duration(seconds * 1e9)
}
