package configfeed

import "cmp"

// Defaults of a follower's times, in seconds.
const (
	// DefaultWait is how long a server may hold a poll, if FollowerConfig.Wait is zero.
	DefaultWait = 2.0
	// answerAllowance is added to the wait for the default timeout, so that an answer after the full wait still arrives.
	answerAllowance = 1.0
	// startSpread is the range over which a follower's first poll is delayed at random, so that followers which start
	// together do not poll at the same moment.
	startSpread = 0.2
)

// ServerAddress is the name, the network address and the region of a control server.
type ServerAddress struct{ Name, Address, Region string }

// FollowerConfig configures a follower. Times are in seconds.
type FollowerConfig struct {
	// Name is the follower's name, 1 to MaxNameBytes bytes long. It must be unique in the fleet, because a server holds
	// only one poll per name.
	Name string
	// Server is set if the follower is a control server itself.
	Server bool
	// Region is the follower's region. Servers of the same region are preferred.
	Region string
	// Servers are the servers that may be polled. If there are none, the follower never polls.
	Servers []ServerAddress
	// Seed is the seed of the follower's random choices.
	Seed uint64
	// Wait is how long a server may hold a poll; zero selects DefaultWait.
	Wait float64
	// Timeout is the time from sending a poll to receiving its complete answer; zero selects Wait plus one second.
	Timeout float64
}

// withDefaults returns the configuration with zero times replaced by the defaults.
func (c FollowerConfig) withDefaults() FollowerConfig {
	c.Wait = cmp.Or(c.Wait, DefaultWait)
	c.Timeout = cmp.Or(c.Timeout, c.Wait+answerAllowance)
	return c
}

// FollowerView is a snapshot of what a follower knows. Times are in seconds of the caller's clock.
type FollowerView struct {
	Version      Version  // version in force; zero if there is none
	Digest       Digest   // digest of the entries in force
	InForceSince float64  // when Version was put in force, or when the follower started with it
	LastHeard    float64  // when a server last answered; zero if none has
	Server       string   // name of the server that is polled
	Refused      *Refusal // last refusal, until another version is in force; nil if there is none
	Newest       Version  // newest version that has been reported to the follower
}
