package configfeed

// ServerAddress is a control server: its name, where it is reached, and its region.
type ServerAddress struct{ Name, Address, Region string }

// FollowerConfig is what a follower is told at its start. Times are in seconds.
type FollowerConfig struct {
	Name    string // of this follower
	Server  bool   // it is a control server itself
	Region  string
	Servers []ServerAddress
	Seed    uint64
	Wait    float64 // that a server may hold a poll back; zero for DefaultWait
	Timeout float64 // of a poll, from its sending to its whole answer; zero for a second beyond Wait
}

// FollowerView is what a follower knows at the moment. Times are the caller's.
type FollowerView struct {
	Version   Version
	Digest    Digest
	Since     float64 // when Version was put in force
	LastHeard float64 // when any server answered last; zero for never
	Server    string  // whom it polls
	Refused   *Refusal
	Newest    Version // that any server told of
}

// Follower keeps one state up to date from the control servers.
type Follower struct{ config FollowerConfig }

// NewFollower gives a follower that has a state already, or the zero State.
func NewFollower(now float64, c FollowerConfig, have State) *Follower { return &Follower{config: c} }

// Next is when Tick is due.
func (f *Follower) Next() float64 { return 0 }

// Tick does what is due.
func (f *Follower) Tick(now float64) []FollowerEffect { return nil }

// Answered takes the answer to a poll.
func (f *Follower) Answered(now float64, request uint64, u Update) []FollowerEffect { return nil }

// Failed takes that a poll got no answer.
func (f *Follower) Failed(now float64, request uint64) []FollowerEffect { return nil }

// Installed takes that the caller has put the state of an Install in force. Only then the next poll goes out, so that
// the version of a poll is in force.
func (f *Follower) Installed(now float64, v Version) []FollowerEffect { return nil }

// Refuse takes that the caller could not put a state in force.
func (f *Follower) Refuse(now float64, r Refusal) []FollowerEffect { return nil }

// View tells what the follower knows.
func (f *Follower) View() FollowerView { return FollowerView{} }
