package main

import (
	"fmt"
	"os"
	"os/user"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
	"gorseledge/internal/livesettings"
)

// author names who gives a command, for the history.
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

func applyCommand(s *session) *cobra.Command {
	var expected, note string
	c := &cobra.Command{Use: "apply FILE --if-revision R", Short: "Put the live configuration of a file in force at every node",
		Args: cobra.ExactArgs(1),
		Long: "FILE is the whole live configuration, in TOML: what it does not name goes back to what nodes were started with.\n" +
			"R is the revision that the file was made from, as status shows it (epoch.revision; without an epoch, the newest\n" +
			"one is meant); where the newest revision is another, nothing is changed.",
		RunE: s.run(func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			entries, err := livesettings.Parse(args[0], text)
			if err != nil {
				return err
			}
			version, hasEpoch, err := parseVersion(expected)
			if err != nil {
				return err
			}
			if !hasEpoch {
				newest, err := s.newest(cmd)
				if err != nil {
					return err
				}
				version.Epoch = newest.Epoch
			}
			return s.propose(cmd, configfeed.Proposal{IfVersion: version, Entries: entries, Note: note})
		})}
	c.Flags().StringVar(&expected, "if-revision", "", "the newest revision that the file takes account of")
	c.Flags().StringVar(&note, "note", "", "why, for the history")
	c.MarkFlagRequired("if-revision")
	return c
}

// parseVersion reads a revision with or without its epoch: 17 or 2.17.
func parseVersion(text string) (v configfeed.Version, hasEpoch bool, err error) {
	epoch, revision, hasEpoch := strings.Cut(text, ".")
	if !hasEpoch {
		revision = text
	} else if v.Epoch, err = strconv.ParseUint(epoch, 10, 64); err != nil {
		return v, hasEpoch, fmt.Errorf("%q is no revision", text)
	}
	if v.Revision, err = strconv.ParseUint(revision, 10, 64); err != nil {
		return v, hasEpoch, fmt.Errorf("%q is no revision", text)
	}
	return v, hasEpoch, nil
}

func revertCommand(s *session) *cobra.Command {
	var note string
	c := &cobra.Command{Use: "revert R", Short: "Put the configuration as of revision R in force again", Args: cobra.ExactArgs(1),
		Long: "Proposes the entries as of revision R of the present epoch as a new revision.",
		RunE: s.run(func(cmd *cobra.Command, args []string) error {
			revision, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return fmt.Errorf("%q is no revision", args[0])
			}
			newest, err := s.newest(cmd)
			if err != nil {
				return err
			}
			state, err := s.client.State(cmd.Context(), s.writer().Address, revision)
			if err != nil {
				return callError(s.writer().Name, err)
			}
			if note == "" {
				note = fmt.Sprintf("revert to revision %d", revision)
			}
			return s.propose(cmd, configfeed.Proposal{IfVersion: newest, Entries: state.Entries, Note: note})
		})}
	c.Flags().StringVar(&note, "note", "", "why, for the history")
	return c
}

func newEpochCommand(s *session) *cobra.Command {
	var note string
	c := &cobra.Command{Use: "new-epoch", Short: "Begin a new epoch, after a backup of the writer was restored", Args: cobra.NoArgs,
		Long: "Use it only after the writer's directory was lost or an older copy of it was put back, and where the writer says\n" +
			"that it is not ready because others know of newer revisions that it cannot get from them. The configuration that\n" +
			"the writer has then becomes the newest one at every node: all later changes are lost, and have to be applied again.\n" +
			"Revisions of an older epoch are never newer than those of a later one, so no node goes back by itself.\n" +
			"See docs/control.md.",
		RunE: s.run(func(cmd *cobra.Command, args []string) error {
			newest, err := s.newest(cmd)
			if err != nil {
				return err
			}
			outcome, err := s.client.NewEpoch(cmd.Context(), s.writer().Address,
				feedhttp.EpochRequest{IfVersion: newest, Author: author(), Note: note})
			if err != nil {
				return callError(s.writer().Name, err)
			}
			return report(cmd, outcome)
		})}
	c.Flags().StringVar(&note, "note", "", "why, for the history")
	return c
}

// newest asks the writer for its newest version.
func (s *session) newest(cmd *cobra.Command) (configfeed.Version, error) {
	status, err := s.client.Status(cmd.Context(), s.writer().Address)
	if err != nil {
		return configfeed.Version{}, callError(s.writer().Name, err)
	}
	return status.Version, nil
}

// propose sends a proposal to the writer and reports its outcome.
func (s *session) propose(cmd *cobra.Command, p configfeed.Proposal) error {
	p.ID, p.Author = feedhttp.NewProposalID(), author()
	outcome, err := s.client.Apply(cmd.Context(), s.writer().Address, p)
	if err != nil {
		return callError(s.writer().Name, err)
	}
	return report(cmd, outcome)
}

// report prints an outcome, or gives it as an error where nothing was changed.
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
		return refused("not the writer: %s is, by that server's control file", outcome.Writer)
	case configfeed.NotReady:
		return refused("the writer is not ready: %s", outcome.Detail)
	case configfeed.TooLarge, configfeed.Invalid:
		return fmt.Errorf("%s: %s", outcome.Kind, outcome.Detail)
	case configfeed.Failed:
		return refused("the writer's disk failed, and whether the change is kept is not known: %s", outcome.Detail)
	}
	return refused("an unknown outcome: %s", outcome.Kind)
}
