package configfeed

import (
	"cmp"
	"slices"
	"strings"
)

// ServerConfig configures a server.
type ServerConfig struct {
	Name    string          // name of this server, which has to be in Servers
	Region  string          // region of this server
	Servers []ServerAddress // all servers, this one included
	Writer  string          // name of the server that accepts proposals
	Seed    uint64          // seed of the server's random choices
}

// StoredLog is the content of the log on the disk at the start. The zero value is that of an empty log.
type StoredLog struct {
	State   State
	History []Revision // oldest first
}

// PeerStatus is what a server knows about another server.
type PeerStatus struct {
	Name         string  `json:"name"`
	Region       string  `json:"region,omitempty"`
	Have         Version `json:"have"`               // version in the peer's last poll or answer
	LastHeard    float64 `json:"heard_s"`            // Unix seconds of its last poll or answer; zero if none since the start
	Unresponsive bool    `json:"silent,omitempty"`   // the peer did not answer this server's last poll
	Diverged     bool    `json:"diverged,omitempty"` // the peer has different entries under this server's version
}

// ServerStatus is the status of a server as shown to operators.
type ServerStatus struct {
	Name      string           `json:"name"`
	Region    string           `json:"region,omitempty"`
	Writer    string           `json:"writer"`              // name of the server that accepts proposals
	Version   Version          `json:"version"`             // version of the newest saved state
	Digest    Digest           `json:"digest,string"`       // digest of the newest saved state
	Newest    Version          `json:"newest"`              // newest version that any server or follower has reported
	Isolated  bool             `json:"isolated,omitempty"`  // the server does not reach a majority of the servers
	NotReady  string           `json:"not_ready,omitempty"` // why the writer cannot accept proposals; always empty at other servers
	Peers     []PeerStatus     `json:"peers"`               // the other servers, sorted by name
	Followers []FollowerStatus `json:"followers"`           // all followers of this server, servers included, sorted by name
}

// Server is one control server. It keeps a poll open at each other server, so that a revision reaches it as long as any
// server that has the revision can be reached. It holds the polls of its followers until it has a newer version for them.
// Each call may change the time that Next returns.
type Server struct {
	config    ServerConfig
	rules     rules
	state     State // newest saved state
	history   *history
	newest    Version // newest version that any server or follower has reported
	peers     []*peer
	followers map[string]*FollowerStatus // by name
	pending   *pendingPolls
	updates   map[updateKey]Update // updates that lead to state, for reuse
	isolated  bool                 // the server does not reach a majority of the servers

	saving             *saveInProgress // nil if no save is in progress
	lastSave           uint64          // ID of the latest save
	queue              []*change       // changes that wait for the save in progress
	acceptedSinceStart bool            // a proposal or an epoch was accepted since the server started

	effects []ServerEffect // effects of the call in progress
}

// NewServer returns a server that starts with the content of its disk. If the stored state does not match its digest, both
// the state and the history are ignored.
func NewServer(now float64, c ServerConfig, stored StoredLog) *Server {
	if stored.State.Verify() != nil {
		stored = StoredLog{}
	}
	s := &Server{
		config:    c,
		state:     stored.State,
		newest:    stored.State.Version,
		history:   newHistory(stored.History, stored.State),
		followers: map[string]*FollowerStatus{},
		pending:   newPendingPolls(),
		updates:   map[updateKey]Update{},
	}
	lastRequest := new(uint64)
	for i, address := range c.Servers {
		if address.Name != c.Name {
			s.peers = append(s.peers, newPeer(now, s, address, c.Seed+uint64(i), lastRequest))
		}
	}
	return s
}

// isWriter reports whether this server accepts proposals.
func (s *Server) isWriter() bool { return s.config.Writer == s.config.Name }

// Next returns when Tick is due, in seconds.
func (s *Server) Next() float64 {
	next := s.pending.nextDeadline()
	for _, p := range s.peers {
		next = min(next, p.follower.Next())
	}
	return next
}

// Tick carries out what is due: it answers the held polls whose deadline has passed, and ends or sends polls at other
// servers.
func (s *Server) Tick(now float64) []ServerEffect {
	for now >= s.pending.nextDeadline() {
		first := s.pending.earliest()
		s.pending.remove(first)
		s.answerPoll(first.request, s.unchangedUpdate())
	}
	for _, p := range s.peers {
		s.handleFollowerEffects(now, p, p.follower.Tick(now))
	}
	s.checkIsolation()
	return s.takeEffects()
}

// takeEffects returns and clears the effects of the call in progress, which the caller is to carry out.
func (s *Server) takeEffects() []ServerEffect {
	effects := s.effects
	s.effects = nil
	return effects
}

// emit adds an effect to those of the call in progress.
func (s *Server) emit(e ServerEffect) { s.effects = append(s.effects, e) }

// observeVersion records a version that a server or follower has reported. This server's next polls report the newest
// one to the other servers.
func (s *Server) observeVersion(v Version) {
	s.newest = newest(s.newest, v)
	if s.newest != v {
		return
	}
	for _, p := range s.peers {
		p.follower.newest = s.newest
	}
}

// History returns the revisions that the server keeps, oldest first. The caller must not change them.
func (s *Server) History() []Revision { return slices.Clip(s.history.revisions) }

// State returns the server's newest saved state. The caller must not change it.
func (s *Server) State() State { return s.state }

// Status returns the server's status. It omits followers that have not polled for an hour.
func (s *Server) Status(now float64) ServerStatus {
	status := ServerStatus{
		Name:     s.config.Name,
		Region:   s.config.Region,
		Writer:   s.config.Writer,
		Version:  s.state.Version,
		Digest:   s.state.Digest,
		Newest:   s.newest,
		Isolated: s.isolated,
	}
	if s.isWriter() {
		status.NotReady = s.notReady()
	}
	for _, p := range s.peers {
		status.Peers = append(status.Peers, p.status(s.state.Version))
	}
	for _, f := range s.followers {
		if now-f.LastHeard < followerStatusAge {
			status.Followers = append(status.Followers, *f)
		}
	}
	slices.SortFunc(status.Followers, func(a, b FollowerStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(status.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return status
}
