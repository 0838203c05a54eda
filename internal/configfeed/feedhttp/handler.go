package feedhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"gorseledge/internal/connlimit"
)

// Limits of requests.
const (
	maxPollBytes  = 16 << 10
	maxApplyBytes = 8 << 20 // holds a complete state with every character escaped, and a margin
	maxEpochBytes = 4 << 10
	maxApplies    = 4 // concurrent apply calls; each may hold a body of maxApplyBytes in memory
)

// call computes the answer to an authenticated request. Its error is a *StatusError or errClientGone.
type call func(r *http.Request, body []byte) (encodedAnswer, error)

// errClientGone is the error of a request whose client has disconnected before the answer.
var errClientGone = errors.New("the client disconnected before the answer")

// handler routes the authenticated calls of followers and commands, and the pages for operators' tools under /-/, which
// need no authentication.
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
		// The write deadline that the previous answer set on this connection could expire while a poll is held.
		http.NewResponseController(w).SetWriteDeadline(time.Time{})
		mux.ServeHTTP(w, r)
	})
}

// limitConcurrency rejects calls while maxApplies of them are in progress, to bound the memory that large bodies use.
func (s *Server) limitConcurrency(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.applySlots <- struct{}{}:
			defer func() { <-s.applySlots }()
			next(w, r)
		default:
			http.Error(w, "other proposals are under way: try again", http.StatusServiceUnavailable)
		}
	}
}

// authenticated returns a handler that reads a request's body of at most limit bytes, verifies the request's MAC, calls
// answerCall and sends the signed answer.
func (s *Server) authenticated(limit int64, answerCall call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(w, r, limit)
		if err != nil {
			sendBodyError(w, err)
			return
		}
		key, rejected := s.authenticator.checkRequest(r, body)
		if rejected != accepted {
			s.reject(r, rejected)
			http.Error(w, "not authentic: "+string(rejected), http.StatusForbidden)
			return
		}
		connlimit.Exempt(r.Context())
		answer, err := answerCall(r, body)
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(sendTimeout))
		if err != nil {
			sendCallError(w, err)
			return
		}
		s.sendAnswer(w, r, key, answer)
	}
}

// sendBodyError answers a request whose body could not be read.
func sendBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
		return
	}
	http.Error(w, "the body was not received completely", http.StatusBadRequest)
}

// sendCallError answers a request whose call failed. It sends nothing after errClientGone, since the client has
// disconnected.
func sendCallError(w http.ResponseWriter, err error) {
	var status *StatusError
	if errors.As(err, &status) {
		http.Error(w, status.Text, status.Code)
	}
}

// sendAnswer sends the answer to a request that was signed with key. It is compressed if the client accepts gzip and that
// makes it smaller.
func (s *Server) sendAnswer(w http.ResponseWriter, r *http.Request, key []byte, answer encodedAnswer) {
	w.Header()["Date"] = nil // no client reads this header, and the answer to every poll would carry it
	w.Header().Set("Content-Type", "application/json")
	s.authenticator.signAnswer(key, r, w.Header(), http.StatusOK, answer.text)
	if answer.compressed != nil && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		w.Write(answer.compressed)
		return
	}
	w.Write(answer.text)
}

// encodeAnswer returns the answer that has a value in JSON as its body.
func encodeAnswer(value any) (encodedAnswer, error) {
	text, err := json.Marshal(value)
	return encodedAnswer{text: text}, err
}

// readBody reads a body of at most limit bytes within receiveTimeout.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(receiveTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	control.SetReadDeadline(time.Time{}) // if it expired later, the client would seem to have disconnected
	return body, err
}

// reject counts a request that is not authentic, and logs the first one of each reason.
func (s *Server) reject(r *http.Request, reason rejection) {
	if s.counters.countRejection(reason) == 1 {
		s.options.Log.Warn().Str("why", string(reason)).Str("from", r.RemoteAddr).Str("path", r.URL.Path).
			Msg("request is not authentic")
	}
}
