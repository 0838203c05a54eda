// Package admin serves a node's admin address, for operators: HTTP calls for readiness, metrics, the fleet and the
// configuration, and for disabling hosts. It owns the connections to that address, passes each call to the node as a
// query and writes the reply. It holds none of the node's state and makes no decisions.
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

	"gorseledge/internal/connlimit"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
)

const (
	answerTimeout = 800 * time.Millisecond // for the node's reply, since each call must be answered within a second
	readTimeout   = 2 * time.Second        // for reading a complete call
	writeTimeout  = 3 * time.Second        // for reading and answering a call
	maxCallBytes  = 2 << 10                // for a call's header, to which net/http adds 4 KiB, and also for its body
)

// QueryFunc sends a query to the node and returns its reply. It returns false if the context ends before the reply.
type QueryFunc func(ctx context.Context, q node.Query) (node.Reply, bool)

// Serve answers calls from a listener, over at most maxConnections connections at once. It returns nil when the context
// ends. fleetView returns the node's view of its fleet; it is nil for a node that belongs to no fleet.
func Serve(ctx context.Context, listener net.Listener, maxConnections int, ask QueryFunc, fleetView func() view.View) error {
	limited := connlimit.New(listener, maxConnections)
	server := &http.Server{
		Handler:                      Handler(ask, fleetView),
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		MaxHeaderBytes:               maxCallBytes,
		ConnContext:                  connlimit.ConnContext,
		ConnState:                    limited.ConnState,
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

// Handler returns the handler that answers the calls. fleetView returns the node's view of its fleet; it is nil for a
// node that belongs to no fleet.
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
			connlimit.Protect(r.Context())
			mux.ServeHTTP(w, r)
		}
	})
}

// acceptCall reads and discards a call's body, which no call needs. It returns false if the call is invalid; it has then
// already answered it with an error. The node thus does not act on an incomplete call or read an endless body.
func acceptCall(w http.ResponseWriter, r *http.Request) bool {
	if p := r.URL.Path; path.Clean("/"+p) != p { // the mux would answer with a redirect in place of an error
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

// queryHandler returns a handler that sends a query to the node, with the host in the call's path if there is one, and
// writes the reply.
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

// confirm returns a function that answers a call with "yes" if the node's reply is OK, and otherwise with errorCode and
// reason.
func confirm(errorCode int, reason string) func(http.ResponseWriter, node.Reply) {
	return func(w http.ResponseWriter, reply node.Reply) {
		switch {
		case !reply.OK:
			http.Error(w, reason, errorCode)
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
