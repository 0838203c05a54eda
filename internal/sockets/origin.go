package sockets

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"gorseledge/internal/handover"
	"gorseledge/internal/node"
)

const (
	claimTimeout      = 500 * time.Millisecond // for the predecessor's answer; after it the node serves without a handover
	claimRetryTimeout = 3 * time.Second        // for retries while the predecessor hands over to another process
	reusePort         = 15                     // SO_REUSEPORT, for which package syscall has no constant on this system
)

// errPredecessorBusy is the error of a request to a predecessor that is handing over to another process.
var errPredecessorBusy = errors.New("the predecessor is handing over to another process")

// claim is what a predecessor hands over with its first answer: the clients' listener, its state, and the link over
// which updates and connections follow.
type claim struct {
	listener *net.TCPListener
	state    *node.HandoverState
	link     *handover.Link
}

// openOrigin returns what the predecessor hands over, or, for a node's first process, a new listener. It returns neither
// if a process that does not support handover listens on the address.
func openOrigin(ctx context.Context, config Config, log zerolog.Logger) (origin, error) {
	var o origin
	dir := os.Getenv("TMPDIR")
	if config.AdminAddress != "" && dir != "" {
		o.upgrade.path = handover.Path(dir, config.Listen)
		if claimed := claimWithRetry(ctx, o.upgrade.path, log); claimed != nil {
			o.listener = claimed.listener
			o.upgrade.inherited = claimed.state
			o.upgrade.predecessor = newPeerProcess(claimed.link)
			return o, nil
		}
	}
	listener, err := listen(ctx, config.Listen, net.ListenConfig{})
	switch {
	case err == nil:
		o.listener = listener
		if config.AdminAddress != "" {
			// A later version can then start beside this one even if the handover fails.
			shareAddress(o.listener)
		}
	case config.AdminAddress != "" && errors.Is(err, syscall.EADDRINUSE):
		log.Warn().Str("listen", config.Listen).Msg("address in use by a process without handover")
	default:
		return o, fmt.Errorf("listen: %w", err)
	}
	return o, nil
}

// claimWithRetry requests the clients' listener and the state of the process that serves now, and retries while that
// process is busy. It returns nil if there is no such process or if the handover fails: the node then starts without it.
func claimWithRetry(ctx context.Context, path string, log zerolog.Logger) *claim {
	end := time.Now().Add(claimRetryTimeout)
	for {
		claimed, err := claimOnce(ctx, path)
		switch {
		case err == nil:
			state := claimed.state
			log.Info().Int("hosts", len(state.Hosts)).Int("connections", len(state.Connections)).
				Bool("heard", state.ListReceived).Msg("handover state received")
			return claimed
		case errors.Is(err, fs.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED): // no predecessor, or only its stale socket
			return nil
		case errors.Is(err, errPredecessorBusy) && time.Now().Before(end) && ctx.Err() == nil:
			time.Sleep(retryPause)
		default:
			log.Warn().Err(err).Msg("handover from the predecessor failed")
			return nil
		}
	}
}

// claimOnce makes one request for the predecessor's listener and state. The error is errPredecessorBusy if another
// attempt may succeed.
func claimOnce(ctx context.Context, path string) (*claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	link, err := handover.Dial(ctx, path)
	if err != nil {
		return nil, err
	}
	claimed, err := requestState(link)
	if err != nil {
		link.Close()
		return nil, err
	}
	return claimed, nil
}

// requestState requests the state of the predecessor at the other end of a link.
func requestState(link *handover.Link) (*claim, error) {
	link.SetReadTimeout(claimTimeout)
	if err := link.Send(handover.Message{Request: handover.RequestState}); err != nil {
		return nil, err
	}
	answer, err := link.Receive()
	if err != nil {
		return nil, err
	}
	if answer.Refusal == handover.RefusalBusy {
		return nil, errPredecessorBusy
	}
	if answer.State == nil {
		return nil, fmt.Errorf("the predecessor refused to hand over its state: %s", answer.Refusal)
	}
	listener, err := link.Listener()
	if err != nil {
		return nil, err
	}
	link.SetReadTimeout(0)
	return &claim{listener: listener, state: answer.State, link: link}, nil
}

// listen listens for plain TCP connections: the kernel does not let a process steer the connections of a multipath TCP
// listener, which is the default of package net.
func listen(ctx context.Context, address string, config net.ListenConfig) (*net.TCPListener, error) {
	config.SetMultipathTCP(false)
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// shareAddress lets another process of this user listen on the same address. A failure is ignored: the node serves
// without sharing its address.
func shareAddress(listener syscall.Conn) {
	if raw, err := listener.SyscallConn(); err == nil {
		setReusePort(raw)
	}
}

func setReusePort(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1) })
}

// listenShared listens on an address that another process uses, as soon as that process shares it or has ended. It
// returns nil if the context ends first.
func listenShared(ctx context.Context, address string) *net.TCPListener {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setReusePort(raw) }}
	for ctx.Err() == nil {
		if listener, err := listen(ctx, address, config); err == nil {
			return listener
		}
		pause(ctx, retryPause)
	}
	return nil
}
