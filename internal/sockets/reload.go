package sockets

import (
	"context"
	"os"

	"gorseledge/internal/discovery"
	"gorseledge/internal/node"
	"gorseledge/internal/node/live"
)

// reloadOnSignal reads the config each time it is asked to, beside the loop: a slow disk holds no client up.
func (s *server) reloadOnSignal(reload <-chan os.Signal) error {
	path := s.config.path
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case <-reload:
			config, err := ReadConfig(path)
			if err == nil {
				_, err = config.start()
			}
			s.do(func() node.Input { return s.reloaded(config, err) })
		}
	}
}

// reloaded takes a config that was read again. Discovery may be elsewhere now; the rest takes a new process. A config
// that cannot be taken, which may be half-written, ends no node that serves: the previous one stays in force.
func (s *server) reloaded(config Config, err error) node.Input {
	if err != nil {
		s.log.Error().Err(err).Msg("config rejected, the previous one stays in force")
		return nil
	}
	if s.config.needsRestart(config) {
		s.log.Warn().Msg("config reloaded: all but discovery waits for a restart")
	}
	moved := config.Discovery != s.config.Discovery
	s.log.Info().Str("discovery", config.Discovery).Bool("moved", moved).Msg("config reloaded")
	if !moved {
		return nil
	}
	s.config.Discovery = config.Discovery
	if s.discovery.liveAddress != "" {
		s.log.Info().Str("discovery", s.discovery.liveAddress).Msg("discovery stays where the live settings say")
		return nil
	}
	s.discovery.client = discovery.New(config.Discovery)
	return node.DiscoveryMoved{}
}

// install has the core put a revision of the live settings in force, and returns once it is or cannot be. It gives the
// keys that have no effect at this node; the error is the core's reason or the context's.
func (s *server) install(ctx context.Context, revision live.Revision) (ignored []string, err error) {
	reply := make(chan node.SettingsApplied, 1)
	step := func() node.Input {
		s.settingsReply = reply
		return node.SettingsReceived{Revision: revision}
	}
	select {
	case s.events <- event{step: step}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case applied := <-reply:
		return applied.Ignored, applied.Err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
