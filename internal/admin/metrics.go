package admin

import (
	"fmt"
	"io"
	"strings"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
)

// nameReplacer replaces what a figure's name cannot hold.
var nameReplacer = strings.NewReplacer(":", "_", "|", "_", "\r", "_", "\n", "_")

// writeMetrics writes all figures, one a line: counts since the start of the process and, of what is now, gauges.
// Their names are fixed: operators' tools read them.
func writeMetrics(w io.Writer, figures node.Statistics, fleetView func() view.View) {
	writeFigures(w, figures)
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

// writeFigures writes the core's figures.
func writeFigures(w io.Writer, figures node.Statistics) {
	var text strings.Builder
	for _, t := range figures.Types {
		name := nameReplacer.Replace(t.Type)
		writeCount(&text, "success."+name, t.Established)
		writeCount(&text, "overload."+name, t.Rejected)
		writeCount(&text, "error."+name, t.Aborted)
	}
	writeCount(&text, "dispatches", figures.Dispatched)
	writeGauge(&text, "concurrent", figures.Open)
	writeGauge(&text, "targets", figures.Listed)
	writeGauge(&text, "targets_disabled", figures.Unavailable)
	io.WriteString(w, text.String())
}

// writeMembers writes the figures of the fleet: gauges, and counts of messages and bytes by kind.
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

// writeConfig writes the figures of the configuration's distribution: what is in force and how old the last answer of a
// control server is, and counts of what went to control servers and came from them.
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
