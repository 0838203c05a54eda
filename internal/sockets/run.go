package sockets

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"gorseledge/internal/discovery"
	"gorseledge/internal/node"
)

const (
	awaitSettings   = 2.0 // s, for a first revision of the live settings before clients are let in
	firstConn       = 1   // connections that come in have odd numbers above it
	versionLength   = 12  // characters of a revision's hash
	versionProperty = "vcs.revision"
)

// Version is the revision that this program was built from; empty where the build does not know it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, property := range info.Settings {
		if property.Key == versionProperty {
			return property.Value[:min(len(property.Value), versionLength)]
		}
	}
	return ""
}

// Signals are what the platform asks of a running node.
type Signals struct {
	Shutdown <-chan os.Signal // begin the graceful shutdown
	Reload   <-chan os.Signal // read the config again
}

// Run serves until the graceful shutdown is complete, which is no error, the context ends, or something fails that the
// node cannot do without. Settings that cannot be taken are a *settings.KeyError. Nothing runs on once it has returned.
func Run(ctx context.Context, config Config, log zerolog.Logger, signals Signals) error {
	start, err := config.start()
	if err != nil {
		return err
	}
	member, err := config.membership() // before any listener is open
	if err != nil {
		return err
	}
	origin, err := openOrigin(ctx, config, log)
	if err != nil {
		return err
	}
	origin.complete(&start, member)
	group, ctx := errgroup.WithContext(ctx)
	s := newServer(ctx, group, config, log)
	s.listener.socket = origin.listener
	s.upgrade = origin.upgrade
	s.core = node.New(s.clock.now(), start)
	if address := s.core.Revision().Settings.Discovery; address != nil {
		s.setLiveDiscovery(*address)
	}
	s.joinFleet(ctx, member, start)
	if err := s.openAdmin(ctx); err != nil {
		s.closeListeners()
		return err
	}
	s.logStarted(start)
	limitMemory(config.Limits.MemoryMB, start.NotListening)
	if s.upgrade.predecessor != nil {
		s.attend(s.upgrade.predecessor)
	}
	s.openGossip(ctx)
	s.listener.openPending = !start.NotListening && start.AwaitSettings == 0
	group.Go(func() error { return s.loop(signals.Shutdown) })
	group.Go(func() error { return s.reloadOnSignal(signals.Reload) })
	if err := group.Wait(); !errors.Is(err, errDone) {
		return err
	}
	return nil
}

// newServer gives a server without a core, listeners or an upgrade.
func newServer(ctx context.Context, group *errgroup.Group, config Config, log zerolog.Logger) *server {
	return &server{
		config:      config,
		log:         log,
		group:       group,
		ctx:         ctx,
		clock:       newClock(),
		timer:       time.NewTimer(0),
		events:      make(chan event, maxWaitingEvents),
		queries:     make(chan query, config.adminConnections()),
		listener:    newClientListener(),
		connections: map[node.ConnID]*connection{},
		lastConn:    firstConn,
		discovery:   discoveryWatch{client: discovery.New(config.Discovery)},
	}
}

func (s *server) logStarted(start node.Start) {
	address := s.config.Listen
	if s.listener.socket != nil {
		address = s.listener.socket.Addr().String()
	}
	s.log.Info().Str("listen", address).Int("sockets", start.MaxDescriptors).Bool("predecessor", start.NotListening).
		Msg("started")
}

// origin is what a process has before its loop begins.
type origin struct {
	listener *net.TCPListener // nil while the address is a process's that hands nothing over
	upgrade  upgrade
}

// complete adds to the core's start what the predecessor and the fleet file have a part in.
func (o origin) complete(start *node.Start, member membership) {
	start.Handover = o.upgrade.inherited
	start.NotListening = o.upgrade.predecessor != nil || o.listener == nil
	if !member.followsControl {
		return
	}
	start.MaxDescriptors = max(start.MaxDescriptors-controlServerDescriptors, minConnectionDescriptors)
	start.DescriptorOverhead += controlServerDescriptors
	if !o.upgrade.inheritsRevision() {
		start.AwaitSettings = awaitSettings
	}
}

// memoryTenths is the soft limit's part of the memory granted: what lies outside the heap needs the rest.
const memoryTenths = 7

// limitMemory sets the runtime's soft limit for a process that is granted so many MiB, 0 for no limit. During an upgrade
// two processes share them.
func limitMemory(grantedMiB int64, shared bool) {
	if grantedMiB <= 0 {
		return
	}
	limit := grantedMiB << 20 / 10 * memoryTenths
	if shared {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
}
