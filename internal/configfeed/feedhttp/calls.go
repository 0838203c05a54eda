package feedhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"gorseledge/internal/configfeed"
)

const (
	maxHistoryBytes      = 4 << 20 // total size of keys and values in one answer; the last revision added may exceed it
	defaultHistoryLength = 50      // revisions in an answer if the request sets no limit
	maxTextBytes         = 200     // longest author, note or proposal identifier
)

// EpochRequest asks the writer to begin a new epoch. It conflicts unless the writer's newest version is IfVersion, so that
// a repeated request does not begin a second epoch.
type EpochRequest struct {
	IfVersion configfeed.Version `json:"if_version"`
	Epoch     uint64             `json:"epoch,omitempty"` // zero for one more than the highest reported epoch
	Author    string             `json:"author"`
	Note      string             `json:"note,omitempty"`
}

// HistoryAnswer holds the newest revisions, oldest first.
type HistoryAnswer struct {
	Version   configfeed.Version    `json:"version"`
	Revisions []configfeed.Revision `json:"revisions"`
}

// badRequest returns the error of an invalid request.
func badRequest(format string, values ...any) error {
	return &StatusError{Code: http.StatusBadRequest, Text: fmt.Sprintf(format, values...)}
}

// errStopping is the error of a request that arrives, or still waits for its answer, while the server stops.
var errStopping = &StatusError{Code: http.StatusServiceUnavailable, Text: "the server is stopping"}

// decode decodes a body that holds exactly one JSON value.
func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return badRequest("the body is not what is wanted: %v", err)
	}
	return nil
}

// poll holds a poll until the core answers it, the client disconnects or the server stops.
func (s *Server) poll(r *http.Request, body []byte) (encodedAnswer, error) {
	s.counters.polls.Add(1)
	var p configfeed.Poll
	if err := decode(body, &p); err != nil {
		return encodedAnswer{}, err
	}
	if err := checkPoll(p); err != nil {
		return encodedAnswer{}, err
	}
	answer := make(chan encodedAnswer, 1)
	var request uint64
	posted := s.loop.post(func(now float64) []configfeed.ServerEffect {
		s.lastRequest++
		request = s.lastRequest
		s.polls[request] = answer
		return s.core.Polled(now, request, p)
	})
	if !posted {
		return encodedAnswer{}, errStopping
	}
	select {
	case encoded := <-answer:
		return encoded, nil
	case <-s.stopping:
		return encodedAnswer{}, errStopping
	case <-r.Context().Done():
		s.loop.post(func(now float64) []configfeed.ServerEffect {
			delete(s.polls, request)
			s.core.PollClosed(now, request)
			return nil
		})
		return encodedAnswer{}, errClientGone
	}
}

// checkPoll returns an error if a field of a poll is out of range.
func checkPoll(p configfeed.Poll) error {
	switch {
	case p.Follower == "" || len(p.Follower) > configfeed.MaxNameBytes:
		return badRequest("follower: wanted a name of 1 to %d bytes", configfeed.MaxNameBytes)
	case len(p.Region) > configfeed.MaxNameBytes:
		return badRequest("region must be at most %d bytes, got %d", configfeed.MaxNameBytes, len(p.Region))
	case p.Wait < 0:
		return badRequest("wait_s: is negative")
	case p.Refused != nil && len(p.Refused.Reason) > configfeed.MaxReasonBytes:
		return badRequest("refused.reason must be at most %d bytes, got %d", configfeed.MaxReasonBytes, len(p.Refused.Reason))
	}
	return nil
}

// apply checks a proposal, passes it to the core and waits for the outcome.
func (s *Server) apply(r *http.Request, body []byte) (encodedAnswer, error) {
	s.counters.applies.Add(1)
	var p configfeed.Proposal
	if err := decode(body, &p); err != nil {
		return encodedAnswer{}, err
	}
	if p.ID == "" {
		return encodedAnswer{}, badRequest("id: is missing")
	}
	if err := checkTexts(p.ID, p.Author, p.Note); err != nil {
		return encodedAnswer{}, err
	}
	if s.options.Check != nil {
		if err := s.options.Check(p.Entries); err != nil {
			return encodedAnswer{}, badRequest("%s", oneLine(err.Error()))
		}
	}
	return s.propose(r, func(now float64, request uint64) []configfeed.ServerEffect {
		return s.core.Propose(now, request, p)
	})
}

// checkTexts returns an error if one of the texts (author, note or identifier) is longer than maxTextBytes.
func checkTexts(texts ...string) error {
	for _, text := range texts {
		if len(text) > maxTextBytes {
			return badRequest("id, author and note must be at most %d bytes each, got %d", maxTextBytes, len(text))
		}
	}
	return nil
}

// newEpoch begins an epoch if the newest version is still the one that the request names.
func (s *Server) newEpoch(r *http.Request, body []byte) (encodedAnswer, error) {
	var e EpochRequest
	if err := decode(body, &e); err != nil {
		return encodedAnswer{}, err
	}
	if err := checkTexts(e.Author, e.Note); err != nil {
		return encodedAnswer{}, err
	}
	return s.propose(r, func(now float64, request uint64) []configfeed.ServerEffect {
		if newest := s.core.Status(now).Version; newest != e.IfVersion {
			conflict := configfeed.Outcome{Kind: configfeed.Conflict, Version: newest}
			return []configfeed.ServerEffect{configfeed.AnswerProposal{Request: request, Outcome: conflict}}
		}
		return s.core.BeginEpoch(now, request, e.Epoch, e.Author, e.Note)
	})
}

// proposalInput calls the core with a request number; the core answers that request with an outcome.
type proposalInput func(now float64, request uint64) []configfeed.ServerEffect

// propose makes a call of the core and waits for its outcome. A proposal continues if its client disconnects.
func (s *Server) propose(r *http.Request, call proposalInput) (encodedAnswer, error) {
	answer := make(chan configfeed.Outcome, 1)
	posted := s.loop.post(func(now float64) []configfeed.ServerEffect {
		s.lastRequest++
		s.proposals[s.lastRequest] = answer
		return call(now, s.lastRequest)
	})
	if !posted {
		return encodedAnswer{}, errStopping
	}
	select {
	case outcome := <-answer:
		return encodeAnswer(outcome)
	case <-s.loop.stopped:
		return encodedAnswer{}, errStopping
	case <-r.Context().Done():
		return encodedAnswer{}, errClientGone
	}
}

// readCore runs read on the loop's goroutine, where it may access the core, and waits for it.
func (s *Server) readCore(read func(now float64)) error {
	done := make(chan struct{})
	posted := s.loop.post(func(now float64) []configfeed.ServerEffect {
		defer close(done)
		read(now)
		return nil
	})
	if !posted {
		return errStopping
	}
	<-done
	return nil
}

// currentStatus returns the core's status.
func (s *Server) currentStatus() (configfeed.ServerStatus, error) {
	var status configfeed.ServerStatus
	err := s.readCore(func(now float64) { status = s.core.Status(now) })
	return status, err
}

// status answers with the server's status.
func (s *Server) status(*http.Request, []byte) (encodedAnswer, error) {
	status, err := s.currentStatus()
	if err != nil {
		return encodedAnswer{}, err
	}
	return encodeAnswer(status)
}

// history answers with the newest revisions, at most as many as the parameter limit asks for. The size of the answer is
// bounded by maxHistoryBytes.
func (s *Server) history(r *http.Request, _ []byte) (encodedAnswer, error) {
	limit, err := uintParameter(r, "limit", defaultHistoryLength)
	if err != nil {
		return encodedAnswer{}, err
	}
	var answer HistoryAnswer
	err = s.readCore(func(now float64) {
		answer = HistoryAnswer{Version: s.core.Status(now).Version, Revisions: newestRevisions(s.core.History(), limit)}
	})
	if err != nil {
		return encodedAnswer{}, err
	}
	return encodeAnswer(answer)
}

// newestRevisions returns a copy of the last revisions, oldest first: at most limit of them, and none beyond the one that
// reaches maxHistoryBytes.
func newestRevisions(all []configfeed.Revision, limit uint64) []configfeed.Revision {
	from := len(all)
	size := 0
	for from > 0 && uint64(len(all)-from) < limit && size < maxHistoryBytes {
		from--
		for _, entry := range all[from].Delta.Set {
			size += len(entry.Key) + len(entry.Value)
		}
	}
	return slices.Clone(all[from:])
}

// state answers with the complete configuration as of a revision of the current epoch. The parameter revision selects it;
// the default is the newest one.
func (s *Server) state(r *http.Request, _ []byte) (encodedAnswer, error) {
	status, err := s.currentStatus()
	if err != nil {
		return encodedAnswer{}, err
	}
	version := status.Version
	version.Revision, err = uintParameter(r, "revision", version.Revision)
	if err != nil {
		return encodedAnswer{}, err
	}
	state, err := s.options.Store.At(version)
	switch {
	case errors.Is(err, configfeed.ErrRevisionNotFound):
		return encodedAnswer{}, &StatusError{Code: http.StatusNotFound,
			Text: fmt.Sprintf("the history does not reach revision %d of epoch %d", version.Revision, version.Epoch)}
	case err != nil:
		return encodedAnswer{}, &StatusError{Code: http.StatusInternalServerError, Text: oneLine(err.Error())}
	}
	return encodeAnswer(state)
}

// uintParameter returns a parameter of a request's query, or a default value if it is missing.
func uintParameter(r *http.Request, name string, missing uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return missing, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest("%s: %q is no number", name, text)
	}
	return value, nil
}
