// Package admin is the second address: it puts an operator's call to the node and writes what comes back. It
// keeps no state of the node's and decides nothing.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strings"
	"time"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
)

const (
	answerWithin = 800 * time.Millisecond // the node's time; every call is due within a second
	callWithin   = 2 * time.Second        // for a call to come whole
	longestCall  = 2 << 10                // bytes of its head, of which net/http takes 4 KiB more, and of its body
)

// Ask puts a question to the node; false if the context ended before it answered.
type Ask func(ctx context.Context, q node.Query) (node.Reply, bool)

// Handler answers the calls. members gives what is known of the fleet; nil for a node on its own.
func Handler(ask Ask, members func() view.View) http.Handler {
	mux := http.NewServeMux()
	put := func(pattern string, what node.Question, write func(w http.ResponseWriter, a node.Reply)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
			defer cancel()
			a, ok := ask(ctx, node.Query{Question: what, Host: r.PathValue("id")})
			if !ok {
				http.Error(w, "the node has not answered in time", http.StatusServiceUnavailable)
				return
			}
			write(w, a)
		})
	}
	yes := func(no int, why string) func(http.ResponseWriter, node.Reply) {
		return func(w http.ResponseWriter, a node.Reply) {
			if !a.OK {
				http.Error(w, why, no)
				return
			}
			if a.StillDisabled {
				fmt.Fprintln(w, "yes, and the live settings still disable it")
				return
			}
			fmt.Fprintln(w, "yes")
		}
	}
	put("GET /-/ready", node.IsReady, yes(http.StatusServiceUnavailable, "not ready"))
	put("GET /-/metrics", node.GetFigures, func(w http.ResponseWriter, a node.Reply) {
		write(w, a.Figures)
		if members == nil {
			return
		}
		v := members()
		writeMembers(w, v)
		if v.Config != nil {
			writeConfig(w, *v.Config)
		}
	})
	if members != nil {
		mux.HandleFunc("GET /-/members", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, members()) })
	}
	if members != nil && members().Config != nil {
		mux.HandleFunc("GET /-/config", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, members().Config) })
	}
	put("PUT /-/hosts/{id}/disable", node.DisableHost, yes(http.StatusNotFound, "no such host"))
	put("PUT /-/hosts/{id}/enable", node.EnableHost, yes(http.StatusNotFound, "no such host"))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p := r.URL.Path; path.Clean("/"+p) != p { // guards against a redirect, which is neither yes nor no
			http.NotFound(w, r)
			return
		}
		// Guards against acting on half a call, and against a body without end.
		_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, longestCall))
		if tooLong := (*http.MaxBytesError)(nil); err != nil {
			code := http.StatusBadRequest
			if errors.As(err, &tooLong) {
				code = http.StatusRequestEntityTooLarge
			}
			http.Error(w, http.StatusText(code), code)
			return
		}
		complete(r.Context())
		mux.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

var plain = strings.NewReplacer(":", "_", "|", "_", "\r", "_", "\n", "_")

// write gives the figures, one a line: counts since the start of the process and, of what is now, gauges.
func write(w io.Writer, f node.Figures) {
	var text strings.Builder
	count := func(name string, n int) { fmt.Fprintf(&text, "lb.%s:%d|c\n", name, n) }
	for _, t := range f.Types {
		name := plain.Replace(t.Type)
		count("success."+name, t.Established)
		count("overload."+name, t.Rejected)
		count("error."+name, t.Aborted)
	}
	count("dispatches", f.Dispatched)
	gauge(&text, "concurrent", f.Open)
	gauge(&text, "targets", f.Listed)
	gauge(&text, "targets_disabled", f.Unavailable)
	io.WriteString(w, text.String())
}

func gauge(w io.Writer, name string, n int) { fmt.Fprintf(w, "lb.%s:%d|g\n", name, n) }

// writeMembers gives the figures of the fleet: gauges, and counts of messages and bytes by kind.
func writeMembers(w io.Writer, v view.View) {
	states := map[string]int{}
	bad := 0
	for _, m := range v.Members {
		states[m.State]++
		if m.Name == v.Self {
			bad = len(m.BadLinks)
		}
	}
	for _, state := range []string{"alive", "suspect", "dead", "left"} {
		gauge(w, "members."+state, states[state])
	}
	gauge(w, "members.bad_links", bad)
	gauge(w, "members.doubt", v.HealthScore)
	gauge(w, "members.nodes", v.Nodes)
	for _, t := range v.Traffic {
		for _, c := range []struct {
			name  string
			count int
		}{{"sent", t.SentMessages}, {"sent_bytes", t.SentBytes}, {"received", t.ReceivedMessages}, {"received_bytes", t.ReceivedBytes}} {
			fmt.Fprintf(w, "lb.members.%s.%s:%d|c\n", c.name, t.Kind, c.count)
		}
	}
}

// writeConfig gives the figures of the configuration's distribution: what is in force and how old the last word of a
// control server is, and counts of what went to control servers and came from them.
func writeConfig(w io.Writer, c view.Config) {
	gauge(w, "config.epoch", int(c.Epoch))
	gauge(w, "config.revision", int(c.Revision))
	gauge(w, "config.newest_epoch", int(c.Newest.Epoch))
	gauge(w, "config.newest_revision", int(c.Newest.Revision))
	gauge(w, "config.age_s", int(c.Age))
	refused := 0
	if c.Refused != nil {
		refused = 1
	}
	gauge(w, "config.refused", refused)
	fmt.Fprintf(w, "lb.config.requests:%d|c\nlb.config.bytes_sent:%d|c\nlb.config.bytes_received:%d|c\n",
		c.Requests, c.BytesSent, c.BytesReceived)
}

// Serve answers calls that come to ln, over at most that many connections at once, until the context ends.
func Serve(ctx context.Context, ln net.Listener, most int, ask Ask, members func() view.View) error {
	door := newDoor(ln, most)
	server := &http.Server{Handler: Handler(ask, members), ReadTimeout: callWithin, WriteTimeout: callWithin + time.Second,
		MaxHeaderBytes: longestCall, ConnContext: door.mark, ConnState: door.state, ErrorLog: nothing,
		DisableGeneralOptionsHandler: true}
	server.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(door); ctx.Err() == nil {
		return err
	}
	return nil
}
