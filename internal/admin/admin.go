// Package admin is a node's second address, for operators: it serves HTTP calls for readiness, figures, the fleet and
// the configuration, and for disabling hosts. It owns the connections of the second address, puts each call to the node
// as a query and writes the reply. It keeps no state of the node's and decides nothing.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"path"
	"time"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
)

const (
	answerTimeout = 800 * time.Millisecond // the node's time; every call is due within a second
	readTimeout   = 2 * time.Second        // for a call to come completely
	writeTimeout  = 3 * time.Second        // for a call to be read and answered
	maxCallBytes  = 2 << 10                // of its head, of which net/http takes 4 KiB more, and of its body
)

// QueryFunc sends a query to the node and returns its reply; it returns false if the context ended before the reply.
type QueryFunc func(ctx context.Context, q node.Query) (node.Reply, bool)

// Serve answers calls that come to a listener, over at most that many connections at once, until the context ends,
// which is no error. fleetView gives what is known of the fleet; nil for a node on its own.
func Serve(ctx context.Context, listener net.Listener, maxConnections int, ask QueryFunc, fleetView func() view.View) error {
	limited := limit(listener, maxConnections)
	server := &http.Server{
		Handler:                      Handler(ask, fleetView),
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		MaxHeaderBytes:               maxCallBytes,
		ConnContext:                  withConnection,
		ConnState:                    limited.connectionState,
		ErrorLog:                     log.New(io.Discard, "", 0),
		DisableGeneralOptionsHandler: true,
	}
	server.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(limited); ctx.Err() == nil {
		return err
	}
	return nil
}

// Handler answers the calls. fleetView gives what is known of the fleet; nil for a node on its own.
func Handler(ask QueryFunc, fleetView func() view.View) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /-/ready", queryHandler(ask, node.IsReady, confirm(http.StatusServiceUnavailable, "not ready")))
	mux.Handle("GET /-/metrics", queryHandler(ask, node.GetStatistics, func(w http.ResponseWriter, reply node.Reply) {
		writeMetrics(w, reply.Statistics, fleetView)
	}))
	mux.Handle("PUT /-/hosts/{id}/disable", queryHandler(ask, node.DisableHost, confirm(http.StatusNotFound, "no such host")))
	mux.Handle("PUT /-/hosts/{id}/enable", queryHandler(ask, node.EnableHost, confirm(http.StatusNotFound, "no such host")))
	if fleetView != nil {
		mux.HandleFunc("GET /-/members", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, fleetView()) })
	}
	if fleetView != nil && fleetView().Config != nil {
		mux.HandleFunc("GET /-/config", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, fleetView().Config) })
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if acceptCall(w, r) {
			markComplete(r.Context())
			mux.ServeHTTP(w, r)
		}
	})
}

// acceptCall reads a call's body, which no call needs, and gives false where it has answered the call with an error.
// The node does not act on an incomplete call, nor read a body without end.
func acceptCall(w http.ResponseWriter, r *http.Request) bool {
	if p := r.URL.Path; path.Clean("/"+p) != p { // the mux would redirect, which is neither yes nor no
		http.NotFound(w, r)
		return false
	}
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err == nil {
		return true
	}
	code := http.StatusBadRequest
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		code = http.StatusRequestEntityTooLarge
	}
	http.Error(w, http.StatusText(code), code)
	return false
}

// queryHandler puts a question to the node, about the host that the path names if any, and writes the reply.
func queryHandler(ask QueryFunc, question node.Question, write func(w http.ResponseWriter, reply node.Reply)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		defer cancel()
		reply, ok := ask(ctx, node.Query{Question: question, Host: r.PathValue("id")})
		if !ok {
			http.Error(w, "the node has not answered in time", http.StatusServiceUnavailable)
			return
		}
		write(w, reply)
	}
}

// confirm writes whether the node's reply is yes; a no has this status code and reason.
func confirm(noCode int, reason string) func(http.ResponseWriter, node.Reply) {
	return func(w http.ResponseWriter, reply node.Reply) {
		switch {
		case !reply.OK:
			http.Error(w, reason, noCode)
		case reply.StillDisabled:
			fmt.Fprintln(w, "yes, and the live settings still disable it")
		default:
			fmt.Fprintln(w, "yes")
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
