package main

import (
	"fmt"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
)

// author returns the user and host that run the command, for the history.
func author() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if host, err := os.Hostname(); err == nil {
		name += "@" + host
	}
	return name
}

// newest returns the newest version that the writer has.
func (s *session) newest(cmd *cobra.Command) (configfeed.Version, error) {
	status, err := s.client.Status(cmd.Context(), s.writer().Address)
	if err != nil {
		return configfeed.Version{}, callError(s.writer().Name, err)
	}
	return status.Version, nil
}

// propose sends a proposal to the writer and reports the outcome.
func (s *session) propose(cmd *cobra.Command, p configfeed.Proposal) error {
	p.ID = feedhttp.NewProposalID()
	p.Author = author()
	outcome, err := s.client.Apply(cmd.Context(), s.writer().Address, p)
	if err != nil {
		return callError(s.writer().Name, err)
	}
	return report(cmd, outcome)
}

// report prints the outcome of a proposal or epoch request, or returns it as an error if the request was refused or failed.
func report(cmd *cobra.Command, outcome configfeed.Outcome) error {
	version := outcome.Version
	switch outcome.Kind {
	case configfeed.Accepted:
		fmt.Fprintf(cmd.OutOrStdout(), "revision %d of epoch %d\n", version.Revision, version.Epoch)
		return nil
	case configfeed.NoChange:
		fmt.Fprintf(cmd.OutOrStdout(), "no change: revision %d of epoch %d is the same\n", version.Revision, version.Epoch)
		return nil
	case configfeed.Conflict:
		return refused("conflict: the newest revision is %d of epoch %d", version.Revision, version.Epoch)
	case configfeed.NotWriter:
		return refused("the server is not the writer: its control file names %s as the writer", outcome.Writer)
	case configfeed.NotReady:
		return refused("the writer is not ready: %s", outcome.Detail)
	case configfeed.TooLarge, configfeed.Invalid:
		return fmt.Errorf("%s: %s", outcome.Kind, outcome.Detail)
	case configfeed.Failed:
		return refused("the writer failed to save the change, which may or may not be on its disk: %s", outcome.Detail)
	}
	return refused("the writer answered with an unknown outcome: %s", outcome.Kind)
}
