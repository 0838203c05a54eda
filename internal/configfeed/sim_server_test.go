package configfeed

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
)

// simServer is the simulated process of a server, with its disk.
type simServer struct {
	process
	sim          *simulation
	config       ServerConfig
	core         *Server
	disk         StoredLog
	backup       StoredLog                // a copy of the disk, to be restored later
	failSaves    bool                     // saves return an error
	saveDuration float64                  // in seconds; zero selects one millisecond
	requests     uint64                   // number of the latest request
	pollers      map[uint64]func(Update)  // by request
	callers      map[uint64]func(Outcome) // by request
	timer        float64                  // time of the scheduled call of Tick; zero if there is none
	encoded      map[encodedKey]int       // sizes of encoded updates in bytes
}

// encodedKey identifies equal updates of a server.
type encodedKey struct {
	kind     UpdateKind
	version  Version
	from     Version
	server   bool
	isolated bool
}

// start starts the process with the content of its disk.
func (n *simServer) start() {
	n.markRunning()
	n.pollers, n.callers = map[uint64]func(Update){}, map[uint64]func(Outcome){}
	n.encoded, n.timer = map[encodedKey]int{}, 0
	stored := StoredLog{State: n.disk.State, History: slices.Clone(n.disk.History)}
	n.core = NewServer(n.sim.clock.Now, n.config, stored)
	n.core.rules = n.sim.rules
	for _, p := range n.core.peers {
		p.follower.rules = n.sim.rules
	}
	n.schedule()
}

// backUpDisk copies the disk for a later restore.
func (n *simServer) backUpDisk() {
	n.backup = StoredLog{State: n.disk.State, History: slices.Clone(n.disk.History)}
}

// killAndRestoreDisk kills the server and restores the copy of its disk.
func (n *simServer) killAndRestoreDisk() {
	n.kill()
	n.disk = StoredLog{State: n.backup.State, History: slices.Clone(n.backup.History)}
	n.sim.dropLostProposals()
}

// killAndWipeDisk kills the server and empties its disk.
func (n *simServer) killAndWipeDisk() {
	n.backup = StoredLog{}
	n.killAndRestoreDisk()
}

// dropLostProposals removes the accepted proposals that may be lost after the loss of a disk, so that the checks do not
// require them: those that are not on the writer's disk and on so few other disks that a majority of the servers, the
// writer included, may lack them.
func (s *simulation) dropLostProposals() {
	s.accepted = slices.DeleteFunc(s.accepted, func(p acceptedProposal) bool {
		holders := 0
		for _, n := range s.servers[1:] {
			if n.stores(p) {
				holders++
			}
		}
		mayLack := len(s.servers) - 1 - holders
		return !s.writer().stores(p) && mayLack >= len(s.servers)/2
	})
}

// stores reports whether the server's disk holds an accepted proposal.
func (n *simServer) stores(p acceptedProposal) bool {
	return slices.ContainsFunc(n.disk.State.Entries, func(e Entry) bool { return e.Key == "mark."+p.id })
}

// schedule sets a timer for the next call of Tick.
func (n *simServer) schedule() {
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
func (n *simServer) carryOut(effects []ServerEffect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case SendPoll:
			n.poll(effect)
		case AnswerPoll:
			if answer := n.pollers[effect.Request]; answer != nil {
				delete(n.pollers, effect.Request)
				answer(effect.Update)
			}
		case AnswerProposal:
			if answer := n.callers[effect.Request]; answer != nil {
				delete(n.callers, effect.Request)
				answer(effect.Outcome)
			}
		case Save:
			n.save(effect)
		}
	}
	n.schedule()
}

// poll sends this server's poll to another server.
func (n *simServer) poll(p SendPoll) {
	n.sim.poll(&n.process, p, func(u Update) {
		n.carryOut(n.core.Answered(n.sim.clock.Now, p.Request, u))
	}, func() {
		n.carryOut(n.core.Failed(n.sim.clock.Now, p.Request))
	})
}

// save writes to the disk after saveDuration, and reports the result after the same time again, so that the server can be
// killed between the two.
func (n *simServer) save(save Save) {
	took := n.saveDuration
	if took == 0 {
		took = 0.001
	}
	fails := n.failSaves
	n.sim.runAfter(took, &n.process, func() {
		if fails {
			n.carryOut(n.core.Saved(n.sim.clock.Now, save.ID, errors.New("disk is full")))
			return
		}
		n.disk.State = save.State
		n.disk.History = append(n.disk.History, save.Revisions...)
		n.disk.History = n.disk.History[max(len(n.disk.History)-HistoryRevisions, 0):]
		if n == n.sim.writer() && !n.sim.wasSaved(save.State) {
			n.sim.saved[save.State.Version] = append(n.sim.saved[save.State.Version], save.State)
		}
		n.sim.runAfter(took, &n.process, func() { n.carryOut(n.core.Saved(n.sim.clock.Now, save.ID, nil)) })
	})
}

// polled passes a poll to the server. It calls answer with the update and its size in bytes.
func (n *simServer) polled(p Poll, answer func(Update, int)) {
	n.requests++
	n.pollers[n.requests] = func(u Update) {
		answer(u, n.size(p, u))
	}
	n.carryOut(n.core.Polled(n.sim.clock.Now, n.requests, p))
}

// size returns the size of an answer in bytes, with its HTTP header. Equal updates are encoded only once.
func (n *simServer) size(p Poll, u Update) int {
	key := encodedKey{kind: u.Kind, version: u.Version, server: p.Server, isolated: u.Isolated}
	if len(u.Deltas) > 0 {
		key.from = u.Deltas[0].From
	} else if len(u.Revisions) > 0 {
		key.from = u.Revisions[0].Delta.From
	}
	if size, ok := n.encoded[key]; ok {
		return size
	}
	text, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	n.encoded[key] = len(text) + headerBytes
	return n.encoded[key]
}

// propose sends a proposal to the writer if it runs, and records the proposal once it is accepted.
func (s *simulation) propose(p Proposal, answered func(Outcome)) {
	n := s.writer()
	if !n.up {
		return
	}
	s.runAfter(latency, &n.process, func() {
		n.requests++
		n.callers[n.requests] = func(o Outcome) {
			if o.Kind == Accepted {
				s.accepted = append(s.accepted, acceptedProposal{id: p.ID, version: o.Version})
			}
			if answered != nil {
				answered(o)
			}
		}
		n.carryOut(n.core.Propose(s.clock.Now, n.requests, p))
	})
}

// newEpoch begins an epoch at the writer, as an operator does.
func (s *simulation) newEpoch() {
	n := s.writer()
	n.requests++
	n.callers[n.requests] = func(Outcome) {}
	n.carryOut(n.core.BeginEpoch(s.clock.Now, n.requests, 0, "operator", "after faults"))
}

// newProposal returns a proposal that adds its own key to the writer's entries, and sets a key that is common to all
// proposals.
func (s *simulation) newProposal(id string) Proposal {
	state := s.writer().core.State()
	entries := map[string]string{}
	for _, e := range state.Entries {
		entries[e.Key] = e.Value
	}
	entries["last"], entries["mark."+id] = `"`+id+`"`, "true"
	p := Proposal{ID: id, IfVersion: state.Version, Author: "test"}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		p.Entries = append(p.Entries, Entry{Key: key, Value: entries[key]})
	}
	return p
}
