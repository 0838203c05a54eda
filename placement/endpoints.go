package placement

import (
	"cmp"
	"math"
	"slices"
)

// rejectionPause is the time in seconds for which a server that rejected an attempt gets no new flows.
const rejectionPause = 1.0

// EndpointState is the state of a server in the endpoint list.
type EndpointState uint8

// The states of a listed server. Removed is the state of a server that is not on the list.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// UnknownZone is the zone of a server of which none is known. It is not the same zone as that of any other server.
const UnknownZone = -1

// Endpoint is one server of the endpoint list.
type Endpoint struct {
	Server    int    // index that the host assigned to the server
	ID        uint32 // id that orders the base list and is hashed to rank homes
	State     EndpointState
	StartedAt float64 // when the server last started, in seconds; 0 for long ago
	Zone      int
	Cell      int
	Size      float64 // capacity relative to other servers; 0 counts as 1
}

// ListKind distinguishes complete endpoint lists, changes to the previous list and failures to get a list.
type ListKind uint8

// The kinds of an endpoint list.
const (
	ListCached   ListKind = iota // complete list from the node's own cache
	ListChanges                  // only the servers that changed since the previous list
	ListFull                     // complete list from the list service
	ListFailed                   // no list: a poll, or the watch that follows it, failed
	ListTimedOut                 // no list: the watch received nothing for too long, so the known list is seconds old
)

// server is the state of one server.
type server struct {
	Endpoint
	listed       bool    // the server is in the base list
	idHash       uint64  // hash of the id
	drainingAt   float64 // when the server was first listed as draining
	rejectedAt   float64 // when the server last rejected an attempt
	inFlight     int     // attempts and connections of this node at the server
	assignedLoad float64 // expected load of these attempts and connections
	migrations   int     // connections migrated from the server since the last wake
	homeRank     float64 // rank of the server for the group whose homes were ranked last

	admin     adminState
	threshold loadThreshold
	report    reportedLoad
	outlier   outlierState
	check     checkState
	slowStart slowStartWindow
}

// newServer returns a server without any observations.
func newServer() server {
	return server{
		rejectedAt: longAgo,
		threshold:  loadThreshold{load: math.Inf(1), loweredAt: longAgo, overloadedAt: longAgo},
		report:     reportedLoad{receivedAt: longAgo},
		outlier:    outlierState{ejectionTime: firstEjectionTime},
	}
}

// server returns the server with an index. It first adds any missing servers up to that index.
func (b *Balancer) server(index int) *server {
	for len(b.servers) <= index {
		b.servers = append(b.servers, newServer())
	}
	return &b.servers[index]
}

// forget discards all observations of a server's process. The counts of what this node has in flight there stay.
func (s *server) forget() {
	before := *s
	*s = newServer()
	s.inFlight = before.inFlight
	s.assignedLoad = before.assignedLoad
	s.check.inFlight = before.check.inFlight
}

// Forget discards everything that is known of servers, so that their indices can be used for other servers. It returns the
// indices that are free now. A server stays as it is while it is on the list, disabled, or needed for a connection, a health
// check or a flow.
func (b *Balancer) Forget(indices []int) (free []int) {
	needed := b.serversOfFlows()
	for _, index := range indices {
		s := b.server(index)
		if s.listed || s.admin.disabled || s.inFlight > 0 || s.check.inFlight || needed[index] {
			continue
		}
		*s = newServer()
		free = append(free, index)
	}
	return free
}

// serversOfFlows returns the servers that the state of a flow refers to.
func (b *Balancer) serversOfFlows() map[int]bool {
	servers := map[int]bool{}
	for i := range b.flows {
		f := &b.flows[i]
		if !f.live {
			continue
		}
		servers[f.server] = true
		servers[f.holder] = true
		if f.ranAt >= 0 {
			servers[f.ranServer] = true
		}
		for _, index := range f.tried {
			servers[index] = true
		}
	}
	return servers
}

// UpdateEndpoints reports an endpoint list, or the failure to get one. The items are all listed servers, or for
// ListChanges only those that changed. They are ignored for ListFailed and ListTimedOut.
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
	b.longestListLength = max(b.longestListLength, float64(len(b.base)))
	b.updateQuotaPerServer()
	b.schedulePollAfterList(now, kind)
	if len(b.base) != lengthBefore {
		b.logf("base list of %d servers, was %d", len(b.base), lengthBefore)
	}
}

// updateEndpoint applies one item of an endpoint list. A changed start time means a new server process, so everything
// learned about the server is discarded except what an operator has set.
func (b *Balancer) updateEndpoint(now float64, item Endpoint) {
	s := b.server(item.Server)
	if item.StartedAt != s.StartedAt {
		admin := s.admin
		s.forget()
		s.admin.disabled = admin.disabled
		s.admin.reentryAt = admin.reentryAt
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

// updateUsable rebuilds the list of usable servers. Ejected servers are usable only if there are no others. Servers that
// rejected an attempt within the rejectionPause are usable only for a mid-flow connection.
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

// Unavailable returns the length of the base list, and how many servers on it accept no new flows now.
func (b *Balancer) Unavailable(now float64) (listed, unavailable int) {
	b.updateUsable(now, false)
	return len(b.base), len(b.base) - len(b.usable)
}
