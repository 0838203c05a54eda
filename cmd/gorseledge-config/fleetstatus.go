package main

import (
	"maps"
	"slices"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/controlfile"
)

// serverReport is the status that one server reported of itself.
type serverReport struct {
	Name     string             `json:"name"`
	Region   string             `json:"region"`
	Error    string             `json:"error,omitempty"` // why the server did not answer; if set, the fields below are zero
	Version  configfeed.Version `json:"version"`
	NotReady string             `json:"not_ready,omitempty"` // why the writer accepts no proposals
	Isolated bool               `json:"isolated,omitempty"`  // whether it cannot reach a majority of the servers
	Diverged []string           `json:"diverged,omitempty"`  // servers that have different entries under its version
	Nodes    int                `json:"nodes"`               // number of nodes that poll it
}

// laggingNode is a node that does not have the newest version.
type laggingNode struct {
	configfeed.FollowerStatus
	Lag      float64 `json:"lag_s"`       // seconds since the first revision that the node lacks was made
	AtLeast  bool    `json:"at_least"`    // Lag is a lower bound, since the history does not reach back to that revision
	Server   string  `json:"server"`      // name of the server that reported the node
	HeardAgo float64 `json:"heard_ago_s"` // seconds since the node's last poll
}

// fleetStatus is the status of a fleet, merged from the answers of all servers.
type fleetStatus struct {
	Newest  configfeed.Version `json:"newest"` // newest version that any server has
	Writer  string             `json:"writer"`
	Servers []serverReport     `json:"servers"`
	Nodes   int                `json:"nodes"`
	Current int                `json:"current"` // number of nodes that have the newest version
	Oldest  configfeed.Version `json:"oldest"`  // oldest version that any node has
	Lagging []laggingNode      `json:"lagging"` // nodes that do not have the newest version, by name
}

// reportedNode is the status of a node, as reported by the server that last heard from it.
type reportedNode struct {
	status configfeed.FollowerStatus
	server string
}

// mergeStatus merges the servers' answers. If several servers know a node, the report of the one that heard from it last
// counts.
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

// reportOf returns the report of a server from its answer.
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

// mergeNodes adds the nodes in a server's answer, by name. If a node is already known, the report of the server that heard
// from it later is kept.
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

// addNode adds a node to the counts, and to the lagging nodes if it does not have the newest version.
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

// lag returns the seconds since the first revision that a node with version have lacks was made. If the history does not
// reach back to that revision, the result is a lower bound and atLeast is true.
func lag(now float64, have configfeed.Version, history []configfeed.Revision) (seconds float64, atLeast bool) {
	for i, r := range history {
		if r.Delta.To.Compare(have) > 0 {
			gap := i == 0 && r.Delta.From != have
			return max(now-r.At, 0), gap
		}
	}
	return 0, true
}
