package admin

import (
	"fmt"
	"io"
	"strings"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
)

// nameReplacer replaces characters that the name of a metric cannot contain.
var nameReplacer = strings.NewReplacer(":", "_", "|", "_", "\r", "_", "\n", "_")

// writeMetrics writes all metrics, one per line: counters since the start of the process, and gauges of the present state.
// Their names must not change, since operators' tools read them.
func writeMetrics(w io.Writer, statistics node.Statistics, fleetView func() view.View) {
	writeStatistics(w, statistics)
	if fleetView == nil {
		return
	}
	v := fleetView()
	writeMembers(w, v)
	if v.Config != nil {
		writeConfig(w, *v.Config)
	}
}

func writeGauge(w io.Writer, name string, value int) { fmt.Fprintf(w, "lb.%s:%d|g\n", name, value) }

func writeCount(w io.Writer, name string, value int) { fmt.Fprintf(w, "lb.%s:%d|c\n", name, value) }

// writeStatistics writes the metrics of the core.
func writeStatistics(w io.Writer, statistics node.Statistics) {
	var text strings.Builder
	for _, t := range statistics.Types {
		name := nameReplacer.Replace(t.Type)
		writeCount(&text, "success."+name, t.Established)
		writeCount(&text, "overload."+name, t.Rejected)
		writeCount(&text, "error."+name, t.Aborted)
	}
	writeCount(&text, "dispatches", statistics.Dispatched)
	writeGauge(&text, "concurrent", statistics.Open)
	writeGauge(&text, "targets", statistics.Listed)
	writeGauge(&text, "targets_disabled", statistics.Unavailable)
	io.WriteString(w, text.String())
}

// writeMembers writes the metrics of the fleet: gauges, and counters of messages and bytes for each message kind.
func writeMembers(w io.Writer, v view.View) {
	states := map[string]int{}
	badLinks := 0
	for _, member := range v.Members {
		states[member.State]++
		if member.Name == v.Self {
			badLinks = len(member.BadLinks)
		}
	}
	for _, state := range []string{"alive", "suspect", "dead", "left"} {
		writeGauge(w, "members."+state, states[state])
	}
	writeGauge(w, "members.bad_links", badLinks)
	writeGauge(w, "members.doubt", v.HealthScore)
	writeGauge(w, "members.nodes", v.Nodes)
	for _, t := range v.Traffic {
		writeCount(w, "members.sent."+t.Kind, t.SentMessages)
		writeCount(w, "members.sent_bytes."+t.Kind, t.SentBytes)
		writeCount(w, "members.received."+t.Kind, t.ReceivedMessages)
		writeCount(w, "members.received_bytes."+t.Kind, t.ReceivedBytes)
	}
}

// writeConfig writes the metrics of the live settings: gauges of the revision in force and of the age of the last answer
// from a control server, and counters of the requests and bytes exchanged with control servers.
func writeConfig(w io.Writer, c view.Config) {
	writeGauge(w, "config.epoch", int(c.Epoch))
	writeGauge(w, "config.revision", int(c.Revision))
	writeGauge(w, "config.newest_epoch", int(c.Newest.Epoch))
	writeGauge(w, "config.newest_revision", int(c.Newest.Revision))
	writeGauge(w, "config.age_s", int(c.Age))
	refused := 0
	if c.Refused != nil {
		refused = 1
	}
	writeGauge(w, "config.refused", refused)
	fmt.Fprintf(w, "lb.config.requests:%d|c\nlb.config.bytes_sent:%d|c\nlb.config.bytes_received:%d|c\n",
		c.Requests, c.BytesSent, c.BytesReceived)
}
