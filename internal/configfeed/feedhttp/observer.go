package feedhttp

import (
	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
)

// observerInterval is the time between two updates of an observer, in seconds.
const observerInterval = 1.0

// observer logs how a server's status changes, one line for each change.
type observer struct {
	log           zerolog.Logger
	majority      int     // of the servers
	nextUpdate    float64 // when the next update is due
	updated       bool    // there was an update
	notReady      string  // as of the last update
	majorityHeard bool    // a majority of the servers has been heard since the start
	isolated      bool    // as of the last update
	diverged      map[string]bool
}

// due reports whether it is time for another update.
func (o *observer) due(now float64) bool { return now >= o.nextUpdate }

// update compares a status with the last one.
func (o *observer) update(now float64, status configfeed.ServerStatus) {
	o.nextUpdate = now + observerInterval
	o.updateMajority(status)
	o.updateIsolation(status)
	o.updateDivergence(status)
	o.updateReadiness(status)
}

// updateMajority logs once that a majority of the servers has been heard.
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
	o.log.Info().Int("heard", heard).Int("majority", o.majority).Msg("a majority of the servers is heard")
}

// updateIsolation logs when the server ceases to reach a majority, and when it reaches one again.
func (o *observer) updateIsolation(status configfeed.ServerStatus) {
	switch {
	case status.Isolated && !o.isolated:
		o.log.Warn().Msg("does not reach a majority of the servers")
	case !status.Isolated && o.isolated:
		o.log.Info().Msg("reaches a majority of the servers again")
	}
	o.isolated = status.Isolated
}

// updateDivergence logs when another server is found to have other entries under the same version.
func (o *observer) updateDivergence(status configfeed.ServerStatus) {
	for _, peer := range status.Peers {
		if peer.Diverged && !o.diverged[peer.Name] {
			o.log.Error().Str("control_server", peer.Name).Uint64("epoch", status.Version.Epoch).
				Uint64("revision", status.Version.Revision).Msg("another server has other entries under the same revision")
		}
		o.diverged[peer.Name] = peer.Diverged
	}
}

// updateReadiness logs whether the server accepts proposals, at the first update and whenever that changes.
func (o *observer) updateReadiness(status configfeed.ServerStatus) {
	if o.updated && status.NotReady == o.notReady {
		return
	}
	o.updated = true
	o.notReady = status.NotReady
	switch {
	case status.Name != status.Writer:
		o.log.Info().Str("writer", status.Writer).Msg("follows the writer")
	case status.NotReady != "":
		o.log.Warn().Str("why", status.NotReady).Msg("takes no proposals")
	default:
		o.log.Info().Msg("takes proposals")
	}
}

// logSave logs the result of a save. The goroutine that saves calls it.
func (o *observer) logSave(save configfeed.Save, err error) {
	version := save.State.Version
	if err != nil {
		o.log.Error().Err(err).Uint64("epoch", version.Epoch).Uint64("revision", version.Revision).Msg("not saved")
		return
	}
	for _, r := range save.Revisions {
		o.log.Info().Uint64("epoch", r.Delta.To.Epoch).Uint64("revision", r.Delta.To.Revision).Str("author", r.Author).
			Str("note", r.Note).Int("set", len(r.Delta.Set)).Int("deleted", len(r.Delta.Delete)).Msg("revision")
	}
	if len(save.Revisions) == 0 {
		o.log.Info().Uint64("epoch", version.Epoch).Uint64("revision", version.Revision).Int("entries", len(save.State.Entries)).
			Msg("snapshot in place of the log")
	}
}
