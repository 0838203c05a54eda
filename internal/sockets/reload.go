package sockets

import (
	"context"
	"os"

	"gorseledge/internal/discovery"
	"gorseledge/internal/node"
	"gorseledge/internal/node/live"
)

// reloadOnSignal reads the config after each reload signal, in a goroutine of its own so that a slow disk does not delay
// clients.
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

// reloaded applies a config that was read again. Only discovery's address takes effect; other changes need a restart.
// An invalid config, perhaps read while it was being written, does not end a serving node: the previous one stays in
// force.
func (s *server) reloaded(config Config, err error) node.Input {
	if err != nil {
		s.log.Error().Err(err).Msg("config rejected, the previous one stays in force")
		return nil
	}
	if s.config.needsRestart(config) {
		s.log.Warn().Msg("config reloaded: changes other than discovery need a restart")
	}
	moved := config.Discovery != s.config.Discovery
	s.log.Info().Str("discovery", config.Discovery).Bool("moved", moved).Msg("config reloaded")
	if !moved {
		return nil
	}
	s.config.Discovery = config.Discovery
	if s.discovery.liveAddress != "" {
		s.log.Info().Str("discovery", s.discovery.liveAddress).Msg("config's discovery address not used: the live settings override it")
		return nil
	}
	s.discovery.client = discovery.New(config.Discovery)
	return node.DiscoveryMoved{}
}

// install has the core put a revision of the live settings in force and waits for the result. The error is the core's
// reason for refusing the revision, or the context's error.
func (s *server) install(ctx context.Context, revision live.Revision) error {
	reply := make(chan node.SettingsApplied, 1)
	step := func() node.Input {
		s.settingsReply = reply
		return node.SettingsReceived{Revision: revision}
	}
	select {
	case s.events <- event{step: step}:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case applied := <-reply:
		return applied.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}
