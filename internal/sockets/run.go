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
	awaitSettings   = 2.0 // s, the longest wait for a first revision of the live settings before clients are accepted
	firstConn       = 1   // connections from clients get the odd numbers above this one
	versionLength   = 12  // characters of a commit's hash
	versionProperty = "vcs.revision"
)

// Version returns the abbreviated hash of the commit that this program was built from, or "" if the build does not
// record one.
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

// Signals are the channels over which a running node receives the signals of its platform.
type Signals struct {
	Shutdown <-chan os.Signal // begins the graceful shutdown
	Reload   <-chan os.Signal // has the node read its config again
}

// Run serves until the graceful shutdown is complete, and then returns nil. It returns an error if the context ends or
// if something fails that the node cannot serve without; invalid settings are a *settings.KeyError. All goroutines that
// it started have ended when it returns.
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
	limitMemory(config.Limits.MemoryMB, start.HasPredecessor)
	if s.upgrade.predecessor != nil {
		s.servePeerProcess(s.upgrade.predecessor)
	}
	s.openGossip(ctx)
	s.listener.openPending = start.OpensListenerAtOnce()
	group.Go(func() error { return s.loop(signals.Shutdown) })
	group.Go(func() error { return s.reloadOnSignal(signals.Reload) })
	if err := group.Wait(); !errors.Is(err, errDone) {
		return err
	}
	return nil
}

// newServer returns a server that has no core, no open listener and no upgrade in progress yet.
func newServer(ctx context.Context, group *errgroup.Group, config Config, log zerolog.Logger) *server {
	return &server{
		config:      config,
		log:         log,
		group:       group,
		ctx:         ctx,
		clock:       newClock(),
		timer:       time.NewTimer(0),
		events:      make(chan event, maxWaitingEvents),
		lineEvents:  make(chan event, maxWaitingEvents),
		queries:     make(chan query, config.adminConnections()),
		turns:       turns{processors: config.processors(), processorTime: processorTime},
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
	s.log.Info().Str("listen", address).Int("sockets", start.MaxDescriptors).Bool("predecessor", start.HasPredecessor).
		Msg("started")
}

// origin holds what a process has opened or inherited before its loop begins.
type origin struct {
	listener *net.TCPListener // nil while another process that does not support handover listens on the address
	upgrade  upgrade
}

// complete sets those start parameters of the core that depend on the predecessor or on the fleet file.
func (o origin) complete(start *node.Start, member membership) {
	start.Handover = o.upgrade.inherited
	start.HasPredecessor = o.upgrade.predecessor != nil || o.listener == nil
	if !member.followsControl {
		return
	}
	start.MaxDescriptors = max(start.MaxDescriptors-controlServerDescriptors, minConnectionDescriptors)
	start.DescriptorOverhead += controlServerDescriptors
	if !o.upgrade.inheritsRevision() {
		start.AwaitSettings = awaitSettings
	}
}

// memoryTenths is the soft limit in tenths of the memory granted; memory outside the heap needs the rest.
const memoryTenths = 7

// limitMemory sets the Go runtime's soft memory limit for a process that may use grantedMiB; 0 sets no limit. During an
// upgrade two processes share the granted memory, and each of them gets half the limit.
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
