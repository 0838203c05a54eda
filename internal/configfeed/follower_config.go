package configfeed

import "cmp"

// Times of a follower, in seconds.
const (
	// DefaultWait is how long a server may hold a poll.
	DefaultWait = 2.0
	// answerAllowance is for an answer to arrive, beyond the time that the server may hold the poll.
	answerAllowance = 1.0
	// startSpread is the span over which the first polls of followers that start together are spread.
	startSpread = 0.2
)

// ServerAddress is a control server: its name, where it is reached, and its region.
type ServerAddress struct{ Name, Address, Region string }

// FollowerConfig configures a follower. Times are in seconds.
type FollowerConfig struct {
	// Name of the follower, 1 to MaxNameBytes long and unique in the fleet: a server holds one poll for a name.
	Name string
	// Server is set where the follower is a control server itself.
	Server bool
	// Region of the follower. Servers of the same region are preferred.
	Region string
	// Servers are those that may be polled. Without any the follower does nothing.
	Servers []ServerAddress
	// Seed of the follower's random choices.
	Seed uint64
	// Wait is how long a server may hold a poll; zero for DefaultWait.
	Wait float64
	// Timeout of a poll, from its sending to its complete answer; zero for one second more than Wait.
	Timeout float64
}

// withDefaults returns the configuration with the defaults in place of zero times.
func (c FollowerConfig) withDefaults() FollowerConfig {
	c.Wait = cmp.Or(c.Wait, DefaultWait)
	c.Timeout = cmp.Or(c.Timeout, c.Wait+answerAllowance)
	return c
}

// FollowerView is what a follower knows at the moment. Times are seconds of the caller's clock.
type FollowerView struct {
	Version      Version  // that is in force; zero for none
	Digest       Digest   // of the entries in force
	InForceSince float64  // when Version was put in force, or when the follower started with it
	LastHeard    float64  // when a server answered last; zero for never
	Server       string   // name of the server that is polled
	Refused      *Refusal // of the version that was refused last, until another one is in force; nil for none
	Newest       Version  // that any server has reported
}
