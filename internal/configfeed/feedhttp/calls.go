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
	maxHistoryBytes      = 4 << 20 // of keys and values in one answer
	defaultHistoryLength = 50
	maxTextBytes         = 200 // of an author, a note, an identifier
)

// EpochRequest asks for a new epoch. It is taken only while the writer's newest version is IfVersion, so that a repeated
// request does nothing more.
type EpochRequest struct {
	IfVersion configfeed.Version `json:"if_version"`
	Epoch     uint64             `json:"epoch,omitempty"` // zero for the one after the highest seen
	Author    string             `json:"author"`
	Note      string             `json:"note,omitempty"`
}

// HistoryAnswer holds the newest revisions, oldest first.
type HistoryAnswer struct {
	Version   configfeed.Version    `json:"version"`
	Revisions []configfeed.Revision `json:"revisions"`
}

func badRequest(format string, values ...any) error {
	return &StatusError{Code: http.StatusBadRequest, Text: fmt.Sprintf(format, values...)}
}

var errStopping = &StatusError{Code: http.StatusServiceUnavailable, Text: "the server is stopping"}

// decode reads a body, strictly as to its form: what follows the value is an error.
func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return badRequest("the body is not what is wanted: %v", err)
	}
	return nil
}

// poll holds a poll until the core answers it or its caller goes.
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
	if !s.loop.post(func(now float64) []configfeed.ServerEffect {
		s.lastRequest++
		request = s.lastRequest
		s.polls[request] = answer
		return s.core.Polled(now, request, p)
	}) {
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
			s.core.Closed(now, request)
			return nil
		})
		return encodedAnswer{}, errClientGone
	}
}

func checkPoll(p configfeed.Poll) error {
	switch {
	case p.Follower == "" || len(p.Follower) > configfeed.MaxNameBytes:
		return badRequest("follower: wanted a name of 1 to %d bytes", configfeed.MaxNameBytes)
	case len(p.Region) > configfeed.MaxNameBytes:
		return badRequest("region: more than %d bytes", configfeed.MaxNameBytes)
	case p.Wait < 0:
		return badRequest("wait_s: is negative")
	case p.Refused != nil && len(p.Refused.Reason) > configfeed.MaxReasonBytes:
		return badRequest("refused: a reason of more than %d bytes", configfeed.MaxReasonBytes)
	}
	return nil
}

// apply proposes entries and waits until they are on the disk or refused.
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

func checkTexts(texts ...string) error {
	for _, text := range texts {
		if len(text) > maxTextBytes {
			return badRequest("a text of more than %d bytes", maxTextBytes)
		}
	}
	return nil
}

// newEpoch begins an epoch where the newest version is the one that the caller has seen.
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
		return s.core.NewEpoch(now, request, e.Epoch, e.Author, e.Note)
	})
}

// propose asks the core for something that it answers by an outcome. A caller who goes does not end it.
func (s *Server) propose(r *http.Request, ask func(now float64, request uint64) []configfeed.ServerEffect) (encodedAnswer, error) {
	answer := make(chan configfeed.Outcome, 1)
	if !s.loop.post(func(now float64) []configfeed.ServerEffect {
		s.lastRequest++
		s.proposals[s.lastRequest] = answer
		return ask(now, s.lastRequest)
	}) {
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

// readCore has the loop's goroutine read something of the core.
func (s *Server) readCore(read func(now float64)) error {
	done := make(chan struct{})
	if !s.loop.post(func(now float64) []configfeed.ServerEffect {
		defer close(done)
		read(now)
		return nil
	}) {
		return errStopping
	}
	<-done
	return nil
}

func (s *Server) currentStatus() (status configfeed.ServerStatus, err error) {
	err = s.readCore(func(now float64) { status = s.core.Status(now) })
	return status, err
}

func (s *Server) status(*http.Request, []byte) (encodedAnswer, error) {
	status, err := s.currentStatus()
	if err != nil {
		return encodedAnswer{}, err
	}
	return encodeAnswer(status)
}

// history describes the newest revisions, as many as are asked for by the parameter limit and fit into an answer.
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

// newestRevisions returns a copy of the last revisions, oldest first.
func newestRevisions(all []configfeed.Revision, limit uint64) []configfeed.Revision {
	from, size := len(all), 0
	for from > 0 && uint64(len(all)-from) < limit && size < maxHistoryBytes {
		from--
		for _, entry := range all[from].Delta.Set {
			size += len(entry.Key) + len(entry.Value)
		}
	}
	return slices.Clone(all[from:])
}

// state describes the whole configuration as of a revision of the present epoch: of the newest one without a parameter.
func (s *Server) state(r *http.Request, _ []byte) (encodedAnswer, error) {
	status, err := s.currentStatus()
	if err != nil {
		return encodedAnswer{}, err
	}
	version := status.Version
	if version.Revision, err = uintParameter(r, "revision", version.Revision); err != nil {
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

// uintParameter reads a parameter of a request.
func uintParameter(r *http.Request, name string, otherwise uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return otherwise, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest("%s: %q is no number", name, text)
	}
	return value, nil
}
