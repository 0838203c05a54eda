package sockets

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"gorseledge/internal/discovery"
	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
	"gorseledge/internal/settings"
	"gorseledge/placement"
)

// eventTimeout is how long a test waits for an expected event.
const eventTimeout = 10 * time.Second

// steppedServer is a server without a running loop: the test passes it one input at a time. A client and a host use
// loopback sockets.
type steppedServer struct {
	*testing.T
	*server
	host   *net.TCPListener
	client *net.TCPConn
}

// startStepped returns a server that has accepted one client, which has sent nothing yet.
func startStepped(t *testing.T) *steppedServer {
	t.Helper()
	host, front := listenLoopback(t), listenLoopback(t)
	s := newSteppedServer(t, host.Addr().String())
	client, err := net.DialTCP("tcp", nil, front.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := front.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	s.addConnection(1, accepted)
	s.apply(node.Accepted{Conn: 1})
	return &steppedServer{T: t, server: s, host: host, client: client}
}

// newSteppedServer returns a server that knows one host and whose discovery never answers.
func newSteppedServer(t *testing.T, host string) *server {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	s := newServer(ctx, group, Config{}, zerolog.Nop())
	s.timer = time.NewTimer(time.Hour)
	s.discovery.client = discovery.NewWithDialer(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}, "discovery")
	s.core = node.New(s.clock.now(), node.Start{
		MaxDescriptors: 100,
		Listener:       settings.ListenerSettings{ServiceTypes: []string{"chat"}},
		Settings: placement.Settings{Nodes: 1, MaxAttempts: 1,
			ServiceTypes: []placement.ServiceType{{Idempotency: placement.Idempotent}}},
		CachedList: endpoint.List{Hosts: []endpoint.Host{{Name: "s-1", Address: host, Status: "SERVING"}}},
	})
	t.Cleanup(func() {
		for _, c := range s.connections {
			c.close(false)
		}
		cancel()
		group.Wait()
	})
	return s
}

func listenLoopback(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// nextEvent waits for the next event that a goroutine hands to the loop.
func (s *steppedServer) nextEvent() event {
	s.Helper()
	select {
	case e := <-s.events:
		return e
	case <-time.After(eventTimeout):
		s.Fatalf("no event within %v", eventTimeout)
		return event{}
	}
}
