package main

import (
	"fmt"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
)

// author returns the user and host that run the command, as recorded in the history of revisions.
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

// newestVersion returns the newest version that the writer has.
func (s *session) newestVersion(cmd *cobra.Command) (configfeed.Version, error) {
	status, err := s.client.Status(cmd.Context(), s.writer().Address)
	if err != nil {
		return configfeed.Version{}, callError(s.writer().Name, err)
	}
	return status.Version, nil
}

// propose sends a proposal to the writer, prints the outcome if the writer accepted the proposal or nothing changed, and
// otherwise returns an error.
func (s *session) propose(cmd *cobra.Command, p configfeed.Proposal) error {
	p.ID = feedhttp.NewProposalID()
	p.Author = author()
	outcome, err := s.client.Apply(cmd.Context(), s.writer().Address, p)
	if err != nil {
		return callError(s.writer().Name, err)
	}
	return printOutcome(cmd, outcome)
}

// printOutcome prints the outcome of a proposal or epoch request, or returns it as an error if the request was refused or
// failed.
func printOutcome(cmd *cobra.Command, outcome configfeed.Outcome) error {
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
	case configfeed.TooLarge, configfeed.Invalid: // exit code exitBadInput, because the input is at fault
		return fmt.Errorf("%s: %s", outcome.Kind, outcome.Detail)
	case configfeed.Failed:
		return refused("the writer could not confirm that the change was saved; check its newest revision: %s", outcome.Detail)
	}
	return refused("the writer answered with an unknown outcome: %s", outcome.Kind)
}
