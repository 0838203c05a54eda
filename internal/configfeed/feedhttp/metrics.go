package feedhttp

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// serverCounters counts the calls of a server since its start. It is safe for concurrent use; the zero value is ready to
// use.
type serverCounters struct {
	polls, applies atomic.Uint64

	mu         sync.Mutex
	rejections map[rejection]int
}

// countRejection counts a request that was rejected for a reason, and returns the count for that reason.
func (c *serverCounters) countRejection(reason rejection) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejections == nil {
		c.rejections = map[rejection]int{}
	}
	c.rejections[reason]++
	return c.rejections[reason]
}

// write writes the counters, one per line.
func (c *serverCounters) write(w io.Writer) {
	fmt.Fprintf(w, "control.polls:%d|c\n", c.polls.Load())
	fmt.Fprintf(w, "control.applies:%d|c\n", c.applies.Load())
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reason := range []rejection{wrongFleet, wrongNonce, wrongMAC} {
		fmt.Fprintf(w, "control.rejected.%s:%d|c\n", reason, c.rejections[reason])
	}
}

// ready is the readiness page for operators' tools. It answers with status 503 while the server stops, and at the writer
// while that accepts no proposals.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	status, err := s.currentStatus()
	switch {
	case err != nil:
		http.Error(w, "not ready: stopping", http.StatusServiceUnavailable)
	case status.NotReady != "":
		http.Error(w, "not ready: "+status.NotReady, http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "yes")
	}
}

// metrics answers with the counters since the start and with gauges, in the same format as a node's metrics page.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	var held int
	if err := s.readCore(func(float64) { held = len(s.polls) }); err != nil {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	status, err := s.currentStatus()
	if err != nil {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	s.counters.write(w)
	gauge := func(name string, value uint64) { fmt.Fprintf(w, "control.%s:%d|g\n", name, value) }
	gauge("epoch", status.Version.Epoch)
	gauge("revision", status.Version.Revision)
	gauge("polls_held", uint64(held))
	gauge("followers", uint64(len(status.Followers)))
	refused := uint64(0)
	for _, follower := range status.Followers {
		if follower.Refused != nil {
			refused++
		}
	}
	gauge("followers_refused", refused)
}
