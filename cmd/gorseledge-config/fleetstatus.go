package main

import (
	"maps"
	"slices"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/controlfile"
)

// serverReport is what one server reported of itself.
type serverReport struct {
	Name     string             `json:"name"`
	Region   string             `json:"region"`
	Error    string             `json:"error,omitempty"` // why the server did not answer; then the rest is zero
	Version  configfeed.Version `json:"version"`
	NotReady string             `json:"not_ready,omitempty"` // why the writer takes no proposals
	Isolated bool               `json:"isolated,omitempty"`  // it does not reach a majority of the servers
	Diverged []string           `json:"diverged,omitempty"`  // servers that have other entries under its version
	Nodes    int                `json:"nodes"`               // that poll it
}

// laggingNode is a node that does not have the newest version.
type laggingNode struct {
	configfeed.FollowerStatus
	Lag      float64 `json:"lag_s"`       // seconds since the first revision that it does not have
	AtLeast  bool    `json:"at_least"`    // Lag is a lower bound, since the history does not reach that revision
	Server   string  `json:"server"`      // that reported the node
	HeardAgo float64 `json:"heard_ago_s"` // seconds since its last poll
}

// fleetStatus is what all servers know together.
type fleetStatus struct {
	Newest  configfeed.Version `json:"newest"` // that any server has
	Writer  string             `json:"writer"`
	Servers []serverReport     `json:"servers"`
	Nodes   int                `json:"nodes"`
	Current int                `json:"current"` // nodes that have the newest version
	Oldest  configfeed.Version `json:"oldest"`  // that any node has
	Lagging []laggingNode      `json:"lagging"` // the other nodes, by name
}

// reportedNode is a node as the server reported it that heard it last.
type reportedNode struct {
	status configfeed.FollowerStatus
	server string
}

// mergeStatus merges the servers' answers. A node that several servers know counts as the last one that heard it reports.
func mergeStatus(now float64, config controlfile.Config, answers []serverAnswer, history []configfeed.Revision) fleetStatus {
	status := fleetStatus{Writer: config.Writer, Lagging: []laggingNode{}}
	nodes := map[string]reportedNode{}
	for _, answer := range answers {
		status.Servers = append(status.Servers, reportOf(answer))
		if answer.err != nil {
			continue
		}
		status.Newest = newer(status.Newest, answer.status.Version)
		mergeNodes(nodes, answer)
	}
	status.Nodes = len(nodes)
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		status.addNode(now, nodes[name], history)
	}
	return status
}

// reportOf returns the report of one server's answer.
func reportOf(answer serverAnswer) serverReport {
	report := serverReport{Name: answer.server.Name, Region: answer.server.Region}
	if answer.err != nil {
		report.Error = answer.err.Error()
		return report
	}
	report.Version = answer.status.Version
	report.NotReady = answer.status.NotReady
	report.Isolated = answer.status.Isolated
	for _, peer := range answer.status.Peers {
		if peer.Diverged {
			report.Diverged = append(report.Diverged, peer.Name)
		}
	}
	for _, follower := range answer.status.Followers {
		if !follower.Server {
			report.Nodes++
		}
	}
	return report
}

// mergeNodes adds the nodes that a server knows, by name. One that heard a node later replaces what was known of it.
func mergeNodes(nodes map[string]reportedNode, answer serverAnswer) {
	for _, follower := range answer.status.Followers {
		if follower.Server {
			continue
		}
		known, found := nodes[follower.Name]
		if !found || known.status.LastHeard < follower.LastHeard {
			nodes[follower.Name] = reportedNode{status: follower, server: answer.server.Name}
		}
	}
}

// addNode counts a node, and lists it if it does not have the newest version.
func (s *fleetStatus) addNode(now float64, node reportedNode, history []configfeed.Revision) {
	have := node.status.Have
	if s.Oldest == (configfeed.Version{}) || have.Compare(s.Oldest) < 0 {
		s.Oldest = have
	}
	if have == s.Newest {
		s.Current++
		return
	}
	seconds, atLeast := lag(now, have, history)
	s.Lagging = append(s.Lagging, laggingNode{
		FollowerStatus: node.status,
		Lag:            seconds,
		AtLeast:        atLeast,
		Server:         node.server,
		HeardAgo:       max(now-node.status.LastHeard, 0),
	})
}

// newer returns the newer of two versions.
func newer(a, b configfeed.Version) configfeed.Version {
	if b.Compare(a) > 0 {
		return b
	}
	return a
}

// lag returns how many seconds ago the first revision was made that a node does not have. It is a lower bound where the
// history begins later than that.
func lag(now float64, have configfeed.Version, history []configfeed.Revision) (seconds float64, atLeast bool) {
	for i, r := range history {
		if r.Delta.To.Compare(have) > 0 {
			gap := i == 0 && r.Delta.From != have
			return max(now-r.At, 0), gap
		}
	}
	return 0, true
}
