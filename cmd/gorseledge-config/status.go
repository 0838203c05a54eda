package main

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/controlfile"
)

const (
	serverTimeout    = 3 * time.Second // until a server has answered
	lagHistoryLength = 200             // newest revisions that are fetched to compute the lag of nodes
)

// statusCommand returns the command that shows the status of all servers and nodes.
func statusCommand(s *session) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Show which servers and nodes have the newest revision, lag behind it or refused it",
		Args:  cobra.NoArgs,
		Long:  "Queries all servers and merges their answers. The exit code is 1 if a server did not answer.",
		RunE:  s.run(func(cmd *cobra.Command, _ []string) error { return s.showStatus(cmd, asJSON) }),
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// showStatus prints the status of all servers and nodes, and returns an error if a server did not answer.
func (s *session) showStatus(cmd *cobra.Command, asJSON bool) error {
	answers := s.queryAll(cmd.Context())
	history := s.firstHistory(cmd.Context(), answers)
	now := float64(time.Now().UnixNano()) / 1e9
	status := mergeStatus(now, s.config, answers, history)
	var err error
	if asJSON {
		err = json.NewEncoder(cmd.OutOrStdout()).Encode(status)
	} else {
		err = writeStatus(cmd.OutOrStdout(), status)
	}
	return cmp.Or(err, missingServersError(status))
}

// missingServersError returns an error if a status lacks the answers of servers, otherwise nil.
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

// serverAnswer is one server's status, or the error of the call for it.
type serverAnswer struct {
	server controlfile.Server
	status configfeed.ServerStatus
	err    error
}

// queryAll queries all servers concurrently and returns their answers in the order of the control file.
func (s *session) queryAll(ctx context.Context) []serverAnswer {
	ctx, cancel := context.WithTimeout(ctx, serverTimeout)
	defer cancel()
	answers := make([]serverAnswer, len(s.config.Servers))
	var queries sync.WaitGroup
	for i, server := range s.config.Servers {
		queries.Go(func() {
			status, err := s.client.Status(ctx, server.Address)
			answers[i] = serverAnswer{server: server, status: status, err: err}
		})
	}
	queries.Wait()
	return answers
}

// firstHistory returns the newest revisions of the first server that answers, or nil if none does. Any server will do,
// since the history is replicated to all of them.
func (s *session) firstHistory(ctx context.Context, answers []serverAnswer) []configfeed.Revision {
	for _, answer := range answers {
		if answer.err != nil {
			continue
		}
		history, err := s.client.History(ctx, answer.server.Address, lagHistoryLength)
		if err == nil {
			return history.Revisions
		}
	}
	return nil
}
