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

// applyOptions are the flags of apply.
type applyOptions struct {
	ifRevision string
	note       string
}

// applyCommand returns the command that proposes the document in a file.
func applyCommand(s *session) *cobra.Command {
	var options applyOptions
	c := &cobra.Command{
		Use:   "apply FILE --if-revision R",
		Short: "Put the live configuration of a file in force at every node",
		Args:  cobra.ExactArgs(1),
		Long: "FILE is the complete live configuration, in TOML: what it does not name goes back to what nodes were started with.\n" +
			"R is the revision that the file was made from, as status shows it (epoch.revision; without an epoch, the newest\n" +
			"one is meant); where the newest revision is another, nothing is changed.",
		RunE: s.run(func(cmd *cobra.Command, args []string) error { return s.apply(cmd, args[0], options) }),
	}
	c.Flags().StringVar(&options.ifRevision, "if-revision", "", "the newest revision that the file takes account of")
	c.Flags().StringVar(&options.note, "note", "", "why, for the history")
	c.MarkFlagRequired("if-revision")
	return c
}

// apply proposes the document in a file, if the newest revision is the one that the options name.
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
		newest, err := s.newest(cmd)
		if err != nil {
			return err
		}
		revision.version.Epoch = newest.Epoch
	}
	return s.propose(cmd, configfeed.Proposal{IfVersion: revision.version, Entries: entries, Note: options.note})
}

// givenRevision is a revision as operators write it.
type givenRevision struct {
	version  configfeed.Version
	hasEpoch bool // otherwise the epoch is zero and the present one is meant
}

// parseRevision reads a revision with or without its epoch, as in 17 or 2.17.
func parseRevision(text string) (givenRevision, error) {
	epochText, revisionText, hasEpoch := strings.Cut(text, ".")
	if !hasEpoch {
		revision, err := parseNumber(text, text)
		return givenRevision{version: configfeed.Version{Revision: revision}}, err
	}
	epoch, err := parseNumber(epochText, text)
	if err != nil {
		return givenRevision{}, err
	}
	revision, err := parseNumber(revisionText, text)
	return givenRevision{version: configfeed.Version{Epoch: epoch, Revision: revision}, hasEpoch: true}, err
}

// parseNumber reads a part of a revision; the error names the complete text.
func parseNumber(part, text string) (uint64, error) {
	number, err := strconv.ParseUint(part, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is no revision", text)
	}
	return number, nil
}
