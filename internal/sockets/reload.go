package sockets

import (
	"cmp"
	"context"
	"os"

	"gorseledge/internal/discovery"
	"gorseledge/internal/node"
	"gorseledge/internal/node/live"
)

// reread reads the config each time it is asked to, beside the loop: a slow disk holds no client up.
func (d *door) reread(asked <-chan os.Signal) error {
	for {
		select {
		case <-d.ctx.Done():
			return nil
		case <-asked:
			c, err := ReadConfig(d.config.path)
			if err == nil {
				_, err = c.start()
			}
			d.send(reloaded{c, err})
		}
	}
}

// reload takes a config that was read again. Discovery may be elsewhere now; the rest takes a new process.
func (d *door) reload(c Config, err error) node.Input {
	if err != nil { // guards against a half-written file ending a node that serves: the old one holds
		d.log.Error().Err(err).Msg("config not taken, the old one holds")
		return nil
	}
	if d.config.differs(c) {
		d.log.Warn().Msg("config read again: all but discovery waits for a restart")
	}
	moved := c.Discovery != d.config.Discovery
	d.log.Info().Str("discovery", c.Discovery).Bool("moved", moved).Msg("config read again")
	if !moved {
		return nil
	}
	d.config.Discovery = c.Discovery
	if d.liveDiscovery != "" {
		d.log.Info().Str("discovery", d.liveDiscovery).Msg("discovery stays where the live settings say")
		return nil
	}
	d.roster = discovery.New(c.Discovery)
	return node.DiscoveryMoved{}
}

// relocate takes discovery's address by the live settings; the empty one stands for the config's.
func (d *door) relocate(address string) {
	d.liveDiscovery = address
	d.roster = discovery.New(cmp.Or(address, d.config.Discovery))
	d.log.Info().Str("discovery", cmp.Or(address, d.config.Discovery)).Bool("live", address != "").Msg("discovery by the live settings")
}

// install has the core put a revision of the live settings in force, and returns once it is or cannot be.
func (d *door) install(ctx context.Context, r live.Revision) (ignored []string, err error) {
	answer := make(chan node.SettingsApplied, 1)
	select {
	case d.inputs <- reconfigure{r, answer}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case a := <-answer:
		return a.Ignored, a.Err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
