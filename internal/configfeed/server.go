package configfeed

// HistoryRevisions is how many revisions a server keeps. A follower that is further behind gets a snapshot, and a
// proposal that is repeated after so many others is not recognised.
const HistoryRevisions = 2048

// ServerConfig is what a server is told at its start. Servers are all of them, this one included.
type ServerConfig struct {
	Name, Region string
	Servers      []ServerAddress
	Writer       string // name of the server that takes proposals
	Seed         uint64
}

// Stored is what the disk held at the start. The zero value is an empty disk.
type Stored struct {
	State   State
	History []Revision // oldest first
}

// PeerStatus is what a server knows of another one.
type PeerStatus struct {
	Name   string  `json:"name"`
	Region string  `json:"region,omitempty"`
	Have   Version `json:"have"`
	Heard  float64 `json:"heard_s"` // Unix time of its last poll or answer; zero for never since the start
}

// ServerStatus is what a server shows to operators.
type ServerStatus struct {
	Name      string           `json:"name"`
	Region    string           `json:"region,omitempty"`
	Writer    string           `json:"writer"`
	Version   Version          `json:"version"`
	Digest    Digest           `json:"digest,string"`
	Newest    Version          `json:"newest"`              // that any server or follower has shown
	NotReady  string           `json:"not_ready,omitempty"` // why the writer takes no proposals; empty at the others
	Peers     []PeerStatus     `json:"peers"`
	Followers []FollowerStatus `json:"followers"` // that poll this server, by name, servers included
}

// Server is one control server.
type Server struct{ config ServerConfig }

// NewServer gives a server with what its disk held.
func NewServer(now float64, c ServerConfig, stored Stored) *Server { return &Server{config: c} }

// Next is when Tick is due.
func (s *Server) Next() float64 { return 0 }

// Tick does what is due.
func (s *Server) Tick(now float64) []ServerEffect { return nil }

// Polled takes a follower's poll. The request is answered by an AnswerPoll, at once or later.
func (s *Server) Polled(now float64, request uint64, p Poll) []ServerEffect { return nil }

// Closed takes that the caller of a held poll has gone. It is not answered any more.
func (s *Server) Closed(now float64, request uint64) {}

// Propose takes a proposal. The request is answered by an AnswerProposal.
func (s *Server) Propose(now float64, request uint64, p Proposal) []ServerEffect { return nil }

// NewEpoch begins an epoch with the entries that the writer has, as an operator asks for after a backup was restored.
// Zero draws the one after the highest seen; any other has to be higher than that.
func (s *Server) NewEpoch(now float64, request uint64, epoch uint64, author, note string) []ServerEffect {
	return nil
}

// Saved takes the outcome of a Save.
func (s *Server) Saved(now float64, save uint64, err error) []ServerEffect { return nil }

// Answered takes another server's answer to a poll of this one.
func (s *Server) Answered(now float64, request uint64, u Update) []ServerEffect { return nil }

// Failed takes that a poll of this server at another one got no answer.
func (s *Server) Failed(now float64, request uint64) []ServerEffect { return nil }

// Status tells what the server knows.
func (s *Server) Status(now float64) ServerStatus { return ServerStatus{} }

// History gives the revisions that the server keeps, oldest first. The caller must not change them.
func (s *Server) History() []Revision { return nil }
