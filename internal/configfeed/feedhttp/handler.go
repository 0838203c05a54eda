package feedhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

// Limits of requests.
const (
	maxPollBytes  = 16 << 10
	maxApplyBytes = 8 << 20 // a whole state with every character of it escaped, and room to spare
	maxEpochBytes = 4 << 10
	maxApplies    = 4 // bodies of that size that are read and decoded at once
)

// call answers a request that is authentic. Its error is a *StatusError, or errCallerGone.
type call func(r *http.Request, body []byte) (encodedAnswer, error)

var errClientGone = errors.New("the caller has gone")

// handler routes the calls of followers and commands, and those of operators' tools.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPoll, s.authenticated(maxPollBytes, s.poll))
	mux.HandleFunc("POST "+pathApply, s.limitConcurrency(s.authenticated(maxApplyBytes, s.apply)))
	mux.HandleFunc("POST "+pathEpoch, s.authenticated(maxEpochBytes, s.newEpoch))
	mux.HandleFunc("GET "+pathStatus, s.authenticated(0, s.status))
	mux.HandleFunc("GET "+pathHistory, s.authenticated(0, s.history))
	mux.HandleFunc("GET "+pathState, s.authenticated(0, s.state))
	mux.HandleFunc("GET /-/ready", s.ready)
	mux.HandleFunc("GET /-/metrics", s.metrics)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The deadline of the answer before on this connection is over while a poll is held.
		http.NewResponseController(w).SetWriteDeadline(time.Time{})
		mux.ServeHTTP(w, r)
	})
}

// limitConcurrency guards against many large bodies in memory at once.
func (s *Server) limitConcurrency(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.applies <- struct{}{}:
			defer func() { <-s.applies }()
			next(w, r)
		default:
			http.Error(w, "other proposals are under way: try again", http.StatusServiceUnavailable)
		}
	}
}

// authenticated reads a request's body, of limit bytes at the most, checks its MAC and sends the signed answer of a call.
func (s *Server) authenticated(limit int64, do call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(w, r, limit)
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
			return
		}
		if err != nil {
			http.Error(w, "the body did not come whole", http.StatusBadRequest)
			return
		}
		key, rejected := s.authenticator.checkRequest(r, body)
		if rejected != accepted {
			s.reject(r, rejected)
			http.Error(w, "not authentic: "+string(rejected), http.StatusForbidden)
			return
		}
		answer, err := do(r, body)
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(sendTimeout))
		if refused := (*StatusError)(nil); errors.As(err, &refused) {
			http.Error(w, refused.Text, refused.Code)
			return
		}
		if err != nil {
			return // to nobody
		}
		w.Header()["Date"] = nil // few bytes for each poll: nobody reads it
		w.Header().Set("Content-Type", "application/json")
		s.authenticator.signAnswer(key, r, w.Header(), http.StatusOK, answer.text)
		if answer.compressed != nil && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			w.Header().Set("Content-Encoding", "gzip")
			w.Write(answer.compressed)
			return
		}
		w.Write(answer.text)
	}
}

// encodeAnswer returns a value as the answer of a call.
func encodeAnswer(value any) (encodedAnswer, error) {
	text, err := json.Marshal(value)
	return encodedAnswer{text: text}, err
}

// readBody reads a body to its end, within a time that does not count for what comes after.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(receiveTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	control.SetReadDeadline(time.Time{}) // its end would look like the caller's going
	return body, err
}

// reject counts a request that is not authentic, and writes the first one of each reason to the log.
func (s *Server) reject(r *http.Request, why rejection) {
	if s.counters.countRejection(why) == 1 {
		s.options.Log.Warn().Str("why", string(why)).Str("from", r.RemoteAddr).Str("path", r.URL.Path).
			Msg("request is not authentic")
	}
}
