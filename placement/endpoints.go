package placement

import (
	"cmp"
	"math"
	"slices"
)

// rejectionPause is the time in seconds for which a server that rejected an attempt gets no new flow.
const rejectionPause = 1.0

// EndpointState is what the endpoint list says of a server.
type EndpointState uint8

// The states of a listed server. Removed is the state of a server that the list does not name.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is one server of the endpoint list.
type Endpoint struct {
	Server    int    // the host's index of the server
	ID        uint32 // orders the base list
	State     EndpointState
	StartedAt float64 // when it last started, in seconds; 0 for long ago
	Zone      int
	Cell      int
	Size      float64 // relative to other servers' sizes; 0 counts as 1
}

// ListKind says what an endpoint list is and how it relates to the one before, or why there is none.
type ListKind uint8

// The kinds of an endpoint list.
const (
	ListCached   ListKind = iota // complete, from the node's own cache
	ListChanges                  // only the servers that changed
	ListFull                     // complete
	ListFailed                   // a poll or the watch after it failed
	ListTimedOut                 // the watch brought nothing for too long; the list is seconds old by then
)

// server is what the balancer knows of one server.
type server struct {
	Endpoint
	listed       bool    // in the base list
	idHash       uint64  // of the id
	drainingAt   float64 // when it was first seen to drain
	rejectedAt   float64 // when it last rejected an attempt
	inFlight     int     // attempts and connections of this node
	assignedLoad float64 // load expected of them
	migrations   int     // connections migrated away since the last wake
	homeRank     float64 // rank for the group whose homes were visited last

	admin     adminState
	threshold loadThreshold
	report    reportedLoad
	outlier   outlierState
	check     checkState
	slowStart slowStartWindow
}

// newServer returns a server of which nothing is known.
func newServer() server {
	return server{
		rejectedAt: longAgo,
		threshold:  loadThreshold{load: math.Inf(1), loweredAt: longAgo, overloadedAt: longAgo},
		report:     reportedLoad{receivedAt: longAgo},
		outlier:    outlierState{ejectionTime: firstEjectionTime},
	}
}

// server returns the server with an index. It adds all servers up to that index where they are missing.
func (b *Balancer) server(index int) *server {
	for len(b.servers) <= index {
		b.servers = append(b.servers, newServer())
	}
	return &b.servers[index]
}

// forget drops what was learned of a server's process. What this node has in flight there stays.
func (s *server) forget() {
	before := *s
	*s = newServer()
	s.inFlight = before.inFlight
	s.assignedLoad = before.assignedLoad
	s.check.inFlight = before.check.inFlight
}

// UpdateEndpoints reports an endpoint list, or that there is none. The items of a list are all listed servers,
// except for ListChanges; they are ignored for ListFailed and ListTimedOut.
func (b *Balancer) UpdateEndpoints(now float64, kind ListKind, items []Endpoint) {
	if kind == ListFailed || kind == ListTimedOut {
		b.schedulePollAfterFailure(now, kind)
		return
	}
	if kind != ListChanges {
		for i := range b.servers {
			b.servers[i].listed = false
		}
	}
	for _, item := range items {
		b.updateEndpoint(now, item)
	}
	lengthBefore := len(b.base)
	b.rebuildBaseList()
	b.longestList = max(b.longestList, float64(len(b.base)))
	b.updateQuotaPerServer()
	b.schedulePollAfterList(now, kind)
	if len(b.base) != lengthBefore {
		b.logf("base list of %d servers, was %d", len(b.base), lengthBefore)
	}
}

// updateEndpoint takes one item of an endpoint list. A new start time means a new process, of which nothing is
// known but what an operator said of the server.
func (b *Balancer) updateEndpoint(now float64, item Endpoint) {
	s := b.server(item.Server)
	if item.StartedAt != s.StartedAt {
		admin := s.admin
		s.forget()
		s.admin.disabled = admin.disabled
		s.admin.enterFrom = admin.enterFrom
		if admin.disabled {
			s.admin.changedAt = admin.changedAt
		}
	}
	if item.State == Draining && s.State != Draining {
		s.drainingAt = now
	}
	s.Endpoint = item
	s.listed = item.State != Removed
	s.idHash = hash64(uint64(item.ID))
}

func (b *Balancer) rebuildBaseList() {
	b.base = b.base[:0]
	for i := range b.servers {
		if b.servers[i].listed {
			b.base = append(b.base, i)
		}
	}
	slices.SortFunc(b.base, func(x, y int) int { return cmp.Compare(b.servers[x].ID, b.servers[y].ID) })
}

// updateUsable rebuilds the list of usable servers. Ejected servers are among them only if there are no others,
// and servers that rejected an attempt just now only for a mid-flow connection.
func (b *Balancer) updateUsable(now float64, midFlow bool) {
	b.collectUsable(now, midFlow, false)
	if len(b.usable) == 0 {
		b.collectUsable(now, midFlow, true)
	}
}

func (b *Balancer) collectUsable(now float64, midFlow, withEjected bool) {
	b.usable = b.usable[:0]
	for _, i := range b.base {
		s := &b.servers[i]
		if s.State != Ready || s.admin.disabled {
			continue
		}
		if s.outlier.ejected && !withEjected {
			continue
		}
		if !midFlow && now-s.rejectedAt < rejectionPause {
			continue
		}
		b.usable = append(b.usable, i)
	}
}

// Unavailable returns the length of the base list, and how many servers on it take no new flows now.
func (b *Balancer) Unavailable(now float64) (listed, unavailable int) {
	b.updateUsable(now, false)
	return len(b.base), len(b.base) - len(b.usable)
}
