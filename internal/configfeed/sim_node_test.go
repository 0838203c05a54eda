package configfeed

import "encoding/json"

// simNode is the simulated process of a node. Its state is on disk and survives a restart.
type simNode struct {
	process
	sim           *simulation
	config        FollowerConfig
	core          *Follower
	state         State
	inForceSince  float64            // when state was put in force
	refusalReason func(State) string // returns why a state is refused, or an empty string; nil accepts every state
	timer         float64            // time of the scheduled call of Tick; zero if there is none
}

// start starts the process with the state on its disk.
func (n *simNode) start() {
	n.markRunning()
	n.timer = 0
	n.core = NewFollower(n.sim.clock.Now, n.config, n.state)
	n.core.rules = n.sim.rules
	n.schedule()
}

// schedule sets a timer for the next call of Tick.
func (n *simNode) schedule() {
	next := n.core.Next()
	if n.timer > n.sim.clock.Now && n.timer <= next {
		return
	}
	n.timer = next
	n.sim.runAfter(max(next-n.sim.clock.Now, 0), &n.process, func() {
		if n.timer == next {
			n.timer = 0
			n.carryOut(n.core.Tick(n.sim.clock.Now))
		}
	})
}

// carryOut carries out the effects of a call.
func (n *simNode) carryOut(effects []FollowerEffect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case SendPoll:
			n.poll(effect)
		case Install:
			n.install(effect)
		}
	}
	n.schedule()
}

// poll sends a poll to the selected server.
func (n *simNode) poll(p SendPoll) {
	text, err := json.Marshal(p.Poll)
	if err != nil {
		panic(err)
	}
	n.bytes += len(text) + headerBytes
	n.sim.poll(&n.process, p, func(u Update) {
		n.carryOut(n.core.Answered(n.sim.clock.Now, p.Request, u))
	}, func() {
		n.carryOut(n.core.Failed(n.sim.clock.Now, p.Request))
	})
}

// install puts a state in force after a delay, as a node does. It records a violation if the state is not newer than the
// one before or was never saved by the writer.
func (n *simNode) install(i Install) {
	n.sim.runAfter(0.005, &n.process, func() {
		if n.refusalReason != nil {
			if reason := n.refusalReason(i.State); reason != "" {
				n.carryOut(n.core.Refuse(n.sim.clock.Now, Refusal{Version: i.State.Version, Reason: reason}))
				return
			}
		}
		if i.State.Version.Compare(n.state.Version) <= 0 {
			n.sim.recordViolation("%s replaced version %s by %s", n.name, n.state.Version, i.State.Version)
		}
		if !n.sim.wasSaved(i.State) {
			n.sim.recordViolation("%s has entries under %s that were never saved", n.name, i.State.Version)
		}
		n.state, n.inForceSince = i.State, n.sim.clock.Now
		n.carryOut(n.core.Installed(n.sim.clock.Now, i.State.Version))
	})
}

// poll delivers a poll to a server and the answer to the sender. It calls either answered or failed once, or neither if a
// message is lost.
func (s *simulation) poll(from *process, p SendPoll, answered func(Update), failed func()) {
	for _, server := range s.servers {
		if server.name != p.Server.Name {
			continue
		}
		s.send(from, &server.process, func() {
			server.polled(p.Poll, func(u Update, size int) {
				s.send(&server.process, from, func() {
					from.bytes += size
					answered(u)
				}, func() {})
			})
		}, failed)
	}
}
