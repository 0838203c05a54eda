package main

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/controlfile"
)

const (
	serverTimeout    = 3 * time.Second // for one server's answer
	lagHistoryLength = 200             // revisions that are looked at for how long a node lags
)

// serverReport is what one server said of itself.
type serverReport struct {
	Name     string             `json:"name"`
	Region   string             `json:"region"`
	Error    string             `json:"error,omitempty"` // why there is nothing else of it
	Version  configfeed.Version `json:"version"`
	NotReady string             `json:"not_ready,omitempty"`
	Isolated bool               `json:"isolated,omitempty"` // it does not reach a majority of the servers
	Diverged []string           `json:"diverged,omitempty"` // servers that have other entries under its revision
	Nodes    int                `json:"nodes"`              // that poll it, as it knows
}

// laggingNode is a node that does not have the newest version.
type laggingNode struct {
	configfeed.FollowerStatus
	Lag      float64 `json:"lag_s"`       // since the first revision that it lacks
	AtLeast  bool    `json:"at_least"`    // the history does not reach that revision
	Server   string  `json:"server"`      // which told of it
	HeardAgo float64 `json:"heard_ago_s"` // since its last poll
}

// fleetStatus is what all servers know together.
type fleetStatus struct {
	Newest  configfeed.Version `json:"newest"`
	Writer  string             `json:"writer"`
	Servers []serverReport     `json:"servers"`
	Nodes   int                `json:"nodes"`
	Current int                `json:"current"` // nodes that have the newest version
	Oldest  configfeed.Version `json:"oldest"`  // that any node has
	Lagging []laggingNode      `json:"lagging"`
}

func statusCommand(s *session) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "Show who has the newest revision, who lags and who refused it", Args: cobra.NoArgs,
		Long: "Asks every server and puts their answers together. Ends with 1 where a server did not answer.",
		RunE: s.run(func(cmd *cobra.Command, args []string) error {
			statuses := s.queryAll(cmd.Context())
			history := s.firstHistory(cmd.Context(), statuses)
			now := float64(time.Now().UnixNano()) / 1e9
			status := mergeStatus(now, s.config, statuses, history)
			var err error
			if asJSON {
				err = json.NewEncoder(cmd.OutOrStdout()).Encode(status)
			} else {
				err = writeStatus(cmd.OutOrStdout(), status)
			}
			return cmp.Or(err, missingServersError(status))
		})}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

// missingServersError is the error of a status in which servers are missing.
func missingServersError(status fleetStatus) error {
	missing := 0
	for _, server := range status.Servers {
		if server.Error != "" {
			missing++
		}
	}
	if missing > 0 {
		return refused("%d of %d servers did not answer", missing, len(status.Servers))
	}
	return nil
}

// serverAnswer is one server's status, or why there is none.
type serverAnswer struct {
	server controlfile.Server
	status configfeed.ServerStatus
	err    error
}

// queryAll asks all servers at once.
func (s *session) queryAll(ctx context.Context) []serverAnswer {
	ctx, cancel := context.WithTimeout(ctx, serverTimeout)
	defer cancel()
	answers := make([]serverAnswer, len(s.config.Servers))
	var asking sync.WaitGroup
	for i, server := range s.config.Servers {
		asking.Go(func() {
			status, err := s.client.Status(ctx, server.Address)
			answers[i] = serverAnswer{server: server, status: status, err: err}
		})
	}
	asking.Wait()
	return answers
}

// firstHistory returns the newest revisions by the first server that tells them; every server has them.
func (s *session) firstHistory(ctx context.Context, answers []serverAnswer) []configfeed.Revision {
	for _, answer := range answers {
		if answer.err != nil {
			continue
		}
		if history, err := s.client.History(ctx, answer.server.Address, lagHistoryLength); err == nil {
			return history.Revisions
		}
	}
	return nil
}

// mergeStatus puts the servers' answers together. A node that several know counts as the one that heard it last says.
func mergeStatus(now float64, config controlfile.Config, answers []serverAnswer, history []configfeed.Revision) fleetStatus {
	status := fleetStatus{Writer: config.Writer, Lagging: []laggingNode{}}
	nodes := map[string]laggingNode{}
	for _, answer := range answers {
		report := serverReport{Name: answer.server.Name, Region: answer.server.Region}
		if answer.err != nil {
			report.Error = answer.err.Error()
			status.Servers = append(status.Servers, report)
			continue
		}
		report.Version, report.NotReady, report.Isolated = answer.status.Version, answer.status.NotReady, answer.status.Isolated
		for _, peer := range answer.status.Peers {
			if peer.Diverged {
				report.Diverged = append(report.Diverged, peer.Name)
			}
		}
		status.Newest = newer(status.Newest, answer.status.Version)
		for _, follower := range answer.status.Followers {
			if follower.Server {
				continue
			}
			report.Nodes++
			if known, found := nodes[follower.Name]; !found || known.LastHeard < follower.LastHeard {
				nodes[follower.Name] = laggingNode{FollowerStatus: follower, Server: answer.server.Name}
			}
		}
		status.Servers = append(status.Servers, report)
	}
	status.Nodes = len(nodes)
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		node := nodes[name]
		if status.Oldest == (configfeed.Version{}) || node.Have.Compare(status.Oldest) < 0 {
			status.Oldest = node.Have
		}
		if node.Have == status.Newest {
			status.Current++
			continue
		}
		node.Lag, node.AtLeast = lag(now, node.Have, history)
		node.HeardAgo = max(now-node.LastHeard, 0)
		status.Lagging = append(status.Lagging, node)
	}
	return status
}

func newer(a, b configfeed.Version) configfeed.Version {
	if b.Compare(a) > 0 {
		return b
	}
	return a
}

// lag is how long ago the first revision came that a node does not have. It is a lower bound where the history begins
// later than that.
func lag(now float64, have configfeed.Version, history []configfeed.Revision) (seconds float64, atLeast bool) {
	for i, r := range history {
		if r.Delta.To.Compare(have) > 0 {
			return max(now-r.At, 0), i == 0 && r.Delta.From != have
		}
	}
	return 0, true
}
