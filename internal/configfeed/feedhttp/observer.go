package feedhttp

import (
	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
)

const observerInterval = 1.0 // seconds between two looks at a server's status

// observer writes what a server does and how it stands to the log, a line for each change.
type observer struct {
	log           zerolog.Logger
	majority      int // of the servers
	nextUpdate    float64
	updated       bool
	notReady      string // at the last look
	majorityHeard bool   // a majority of the servers has been heard
	isolated      bool   // at the last look
	diverged      map[string]bool
}

// due reports whether it is time for another look.
func (o *observer) due(now float64) bool { return now >= o.nextUpdate }

// update compares a status with the last one.
func (o *observer) update(now float64, status configfeed.ServerStatus) {
	o.nextUpdate = now + observerInterval
	heard := 1 // this server itself
	for _, peer := range status.Peers {
		if peer.Name != status.Name && peer.LastHeard > 0 {
			heard++
		}
	}
	if !o.majorityHeard && heard >= o.majority {
		o.majorityHeard = true
		o.log.Info().Int("heard", heard).Int("majority", o.majority).Msg("a majority of the servers is heard")
	}
	o.updatePeers(status)
	if o.updated && status.NotReady == o.notReady {
		return
	}
	o.updated, o.notReady = true, status.NotReady
	switch {
	case status.Name != status.Writer:
		o.log.Info().Str("writer", status.Writer).Msg("follows the writer")
	case status.NotReady != "":
		o.log.Warn().Str("why", status.NotReady).Msg("takes no proposals")
	default:
		o.log.Info().Msg("takes proposals")
	}
}

// updatePeers notes whether a majority is reached, and who has other entries under the same version.
func (o *observer) updatePeers(status configfeed.ServerStatus) {
	switch {
	case status.Isolated && !o.isolated:
		o.log.Warn().Msg("does not reach a majority of the servers")
	case !status.Isolated && o.isolated:
		o.log.Info().Msg("reaches a majority of the servers again")
	}
	o.isolated = status.Isolated
	for _, peer := range status.Peers {
		if peer.Diverged && !o.diverged[peer.Name] {
			o.log.Error().Str("control_server", peer.Name).Uint64("epoch", status.Version.Epoch).
				Uint64("revision", status.Version.Revision).Msg("another server has other entries under the same revision")
		}
		o.diverged[peer.Name] = peer.Diverged
	}
}

// logSave notes what has become of a save. It is called by the goroutine that saves.
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
