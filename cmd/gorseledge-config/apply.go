package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/livesettings"
)

// applyOptions holds the flags of apply.
type applyOptions struct {
	ifRevision string
	note       string
}

// applyCommand returns the command that proposes the live configuration in a file.
func applyCommand(s *session) *cobra.Command {
	var options applyOptions
	c := &cobra.Command{
		Use:   "apply FILE --if-revision R",
		Short: "Put the live configuration in a file in force at every node",
		Args:  cobra.ExactArgs(1),
		Long: "FILE is the complete live configuration in TOML. Settings that it does not name return to the values with which\n" +
			"the nodes were started. R is the revision on which the file is based, as status shows it (epoch.revision; the\n" +
			"epoch defaults to the current one). If R is not the newest revision, nothing is changed.",
		RunE: s.run(func(cmd *cobra.Command, args []string) error { return s.apply(cmd, args[0], options) }),
	}
	c.Flags().StringVar(&options.ifRevision, "if-revision", "", "the revision on which the file is based")
	c.Flags().StringVar(&options.note, "note", "", "reason for the change, shown in the history")
	c.MarkFlagRequired("if-revision")
	return c
}

// apply proposes the live configuration in a file. The writer accepts it only if the newest revision is the one that the
// options name.
func (s *session) apply(cmd *cobra.Command, path string, options applyOptions) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	entries, err := livesettings.Parse(path, text)
	if err != nil {
		return err
	}
	revision, err := parseRevision(options.ifRevision)
	if err != nil {
		return err
	}
	if !revision.hasEpoch {
		newest, err := s.newestVersion(cmd)
		if err != nil {
			return err
		}
		revision.version.Epoch = newest.Epoch
	}
	return s.propose(cmd, configfeed.Proposal{IfVersion: revision.version, Entries: entries, Note: options.note})
}

// revisionArgument is a revision as an operator writes it on the command line.
type revisionArgument struct {
	version  configfeed.Version
	hasEpoch bool // if false, the version's epoch is zero and the current one is meant
}

// parseRevision parses a revision with or without its epoch, such as 2.17 or 17.
func parseRevision(text string) (revisionArgument, error) {
	epochText, revisionText, hasEpoch := strings.Cut(text, ".")
	if !hasEpoch {
		revision, err := parseNumber(text, text)
		return revisionArgument{version: configfeed.Version{Revision: revision}}, err
	}
	epoch, err := parseNumber(epochText, text)
	if err != nil {
		return revisionArgument{}, err
	}
	revision, err := parseNumber(revisionText, text)
	return revisionArgument{version: configfeed.Version{Epoch: epoch, Revision: revision}, hasEpoch: true}, err
}

// parseNumber parses one part of a revision. The text is the complete revision, for the error.
func parseNumber(part, text string) (uint64, error) {
	number, err := strconv.ParseUint(part, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("invalid revision %q: %q must be a whole number of at most 64 bits", text, part)
	}
	return number, nil
}
