package feedhttp

import (
	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
)

// observerInterval is the minimum time between two updates of an observer, in seconds.
const observerInterval = 1.0

// observer logs changes of a server's status, one line per change.
type observer struct {
	log           zerolog.Logger
	majority      int             // number of servers that form a majority
	nextUpdate    float64         // time at which the next update is due, in seconds
	updated       bool            // whether there has been an update
	notReady      string          // why the writer accepted no proposals at the last update; empty if it did
	majorityHeard bool            // whether a majority of the servers has been heard since the start
	isolated      bool            // whether the server was isolated at the last update
	diverged      map[string]bool // whether a server had diverged at the last update, by its name
}

// due reports whether it is time for another update.
func (o *observer) due(now float64) bool { return now >= o.nextUpdate }

// update compares a status with the previous one and logs the differences.
func (o *observer) update(now float64, status configfeed.ServerStatus) {
	o.nextUpdate = now + observerInterval
	o.updateMajority(status)
	o.updateIsolation(status)
	o.updateDivergence(status)
	o.updateReadiness(status)
}

// updateMajority logs once, when a majority of the servers has been heard since the start.
func (o *observer) updateMajority(status configfeed.ServerStatus) {
	heard := 1 // this server itself
	for _, peer := range status.Peers {
		if peer.Name != status.Name && peer.LastHeard > 0 {
			heard++
		}
	}
	if o.majorityHeard || heard < o.majority {
		return
	}
	o.majorityHeard = true
	o.log.Info().Int("heard", heard).Int("majority", o.majority).Msg("heard from a majority of the servers")
}

// updateIsolation logs when the server no longer reaches a majority of the servers, and when it reaches one again.
func (o *observer) updateIsolation(status configfeed.ServerStatus) {
	switch {
	case status.Isolated && !o.isolated:
		o.log.Warn().Msg("cannot reach a majority of the servers")
	case !status.Isolated && o.isolated:
		o.log.Info().Msg("reached a majority of the servers again")
	}
	o.isolated = status.Isolated
}

// updateDivergence logs when another server is found to have different entries under the same version.
func (o *observer) updateDivergence(status configfeed.ServerStatus) {
	for _, peer := range status.Peers {
		if peer.Diverged && !o.diverged[peer.Name] {
			o.log.Error().Str("control_server", peer.Name).Uint64("epoch", status.Version.Epoch).
				Uint64("revision", status.Version.Revision).Msg("another server has different entries under the same revision")
		}
		o.diverged[peer.Name] = peer.Diverged
	}
}

// updateReadiness logs whether the server accepts proposals: at the first update, and whenever that or the reason changes.
func (o *observer) updateReadiness(status configfeed.ServerStatus) {
	if o.updated && status.NotReady == o.notReady {
		return
	}
	o.updated = true
	o.notReady = status.NotReady
	switch {
	case status.Name != status.Writer:
		o.log.Info().Str("writer", status.Writer).Msg("replicating from the writer")
	case status.NotReady != "":
		o.log.Warn().Str("why", status.NotReady).Msg("not accepting proposals")
	default:
		o.log.Info().Msg("accepting proposals")
	}
}

// logSave logs the result of a save. It is called on the goroutine that saves.
func (o *observer) logSave(save configfeed.Save, err error) {
	version := save.State.Version
	if err != nil {
		o.log.Error().Err(err).Uint64("epoch", version.Epoch).Uint64("revision", version.Revision).Msg("saving to the log failed")
		return
	}
	for _, r := range save.Revisions {
		o.log.Info().Uint64("epoch", r.Delta.To.Epoch).Uint64("revision", r.Delta.To.Revision).Str("author", r.Author).
			Str("note", r.Note).Int("set", len(r.Delta.Set)).Int("deleted", len(r.Delta.Delete)).Msg("revision saved")
	}
	if len(save.Revisions) == 0 {
		o.log.Info().Uint64("epoch", version.Epoch).Uint64("revision", version.Revision).Int("entries", len(save.State.Entries)).
			Msg("snapshot saved in place of the log")
	}
}
