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
	claimTimeout      = 500 * time.Millisecond // for the predecessor to answer; without it the node serves all the same
	claimRetryTimeout = 3 * time.Second        // while the predecessor is handing over to another process
	reusePort         = 15                     // SO_REUSEPORT, which package syscall does not name on this system
)

// errPredecessorBusy says that the predecessor is handing over to another process.
var errPredecessorBusy = errors.New("the predecessor is busy")

// claim is what a predecessor hands over at once: the clients' listener, what it knows, and the link over which the
// rest comes.
type claim struct {
	listener *net.TCPListener
	state    *node.HandoverState
	link     *handover.Link
}

// openOrigin gives the listener of a node's first process, or what its predecessor hands over, or neither: then the
// address is a process's that hands nothing over.
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
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", config.Listen)
	switch {
	case err == nil:
		o.listener = listener.(*net.TCPListener)
		if config.AdminAddress != "" {
			// A later version may then come beside this one, whatever becomes of the handover.
			shareAddress(o.listener)
		}
	case config.AdminAddress != "" && errors.Is(err, syscall.EADDRINUSE):
		log.Warn().Str("listen", config.Listen).Msg("address in use by a process without handover")
	default:
		return o, fmt.Errorf("listen: %w", err)
	}
	return o, nil
}

// claimWithRetry asks the process that serves for the clients' listener and what it knows, again while that process is
// busy. It gives nil where there is no such process or anything fails: the node goes on without.
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
		case errors.Is(err, fs.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED): // nobody, or only a stale socket
			return nil
		case errors.Is(err, errPredecessorBusy) && time.Now().Before(end) && ctx.Err() == nil:
			time.Sleep(retryPause)
		default:
			log.Warn().Err(err).Msg("handover from the predecessor failed")
			return nil
		}
	}
}

// claimOnce asks once. The error is errPredecessorBusy where another attempt may succeed.
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

// requestState asks the predecessor at the far side of a link for its state.
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
		return nil, fmt.Errorf("the predecessor said no: %s", answer.Refusal)
	}
	listener, err := link.Listener()
	if err != nil {
		return nil, err
	}
	link.SetReadTimeout(0)
	return &claim{listener: listener, state: answer.State, link: link}, nil
}

// shareAddress lets another process of this user listen on the same address. A failure costs no more than that.
func shareAddress(listener syscall.Conn) {
	if raw, err := listener.SyscallConn(); err == nil {
		setReusePort(raw)
	}
}

func setReusePort(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1) })
}

// listenShared listens on an address that another process has, as soon as that one shares it or is gone. It gives nil
// if the context ended before.
func listenShared(ctx context.Context, address string) *net.TCPListener {
	listenConfig := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setReusePort(raw) }}
	for ctx.Err() == nil {
		listener, err := listenConfig.Listen(ctx, "tcp", address)
		if err == nil {
			return listener.(*net.TCPListener)
		}
		pause(ctx, retryPause)
	}
	return nil
}
