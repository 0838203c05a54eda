package feedhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

// Limits of requests, in bytes unless noted.
const (
	maxPollBytes  = 16 << 10
	maxApplyBytes = 8 << 20 // a complete state with every character escaped, and a margin
	maxEpochBytes = 4 << 10
	maxApplies    = 4 // calls with a body of maxApplyBytes at the same time
)

// call answers a request that is authentic. Its error is a *StatusError, or errClientGone.
type call func(r *http.Request, body []byte) (encodedAnswer, error)

// errClientGone is the error of a request whose client does not wait for the answer any more.
var errClientGone = errors.New("the client has gone")

// handler routes the calls of followers and commands, and those of operators' tools, which are not authenticated.
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
		// The write deadline of the previous answer on this connection passes while a poll is held.
		http.NewResponseController(w).SetWriteDeadline(time.Time{})
		mux.ServeHTTP(w, r)
	})
}

// limitConcurrency rejects calls while maxApplies of them are in progress. This prevents many large bodies from being in
// memory at once.
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

// authenticated reads a request's body of at most limit bytes, verifies its MAC and sends the signed answer of a call.
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
	http.Error(w, "the body did not come whole", http.StatusBadRequest)
}

// sendCallError answers a request whose call failed. After errClientGone there is nobody to answer.
func sendCallError(w http.ResponseWriter, err error) {
	var status *StatusError
	if errors.As(err, &status) {
		http.Error(w, status.Text, status.Code)
	}
}

// sendAnswer sends the answer to a request that was signed with key, compressed where the client accepts that.
func (s *Server) sendAnswer(w http.ResponseWriter, r *http.Request, key []byte, answer encodedAnswer) {
	w.Header()["Date"] = nil // no client reads it, and every poll would carry it
	w.Header().Set("Content-Type", "application/json")
	s.authenticator.signAnswer(key, r, w.Header(), http.StatusOK, answer.text)
	if answer.compressed != nil && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		w.Write(answer.compressed)
		return
	}
	w.Write(answer.text)
}

// encodeAnswer returns a value in JSON as the answer of a call.
func encodeAnswer(value any) (encodedAnswer, error) {
	text, err := json.Marshal(value)
	return encodedAnswer{text: text}, err
}

// readBody reads a body to its end within receiveTimeout.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(receiveTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	control.SetReadDeadline(time.Time{}) // if it passed later, the client would seem to have gone
	return body, err
}

// reject counts a request that is not authentic, and logs the first one for each reason.
func (s *Server) reject(r *http.Request, reason rejection) {
	if s.counters.countRejection(reason) == 1 {
		s.options.Log.Warn().Str("why", string(reason)).Str("from", r.RemoteAddr).Str("path", r.URL.Path).
			Msg("request is not authentic")
	}
}
