package fleet

import (
	"encoding/json"
	"fmt"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/livesettings"
	"gorseledge/internal/node/live"
)

// decodeRevision converts a distributed state to a revision of the node's live settings. The error names the key that
// cannot be decoded.
func decodeRevision(state configfeed.State) (live.Revision, error) {
	settings, err := livesettings.Decode(state.Entries)
	if err != nil {
		return live.Revision{}, err
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		return live.Revision{}, fmt.Errorf("encode the state of a revision: %w", err)
	}
	return live.Revision{
		Epoch:    state.Version.Epoch,
		Number:   state.Version.Revision,
		Settings: settings,
		State:    encoded,
	}, nil
}

// stateOf returns the distributed state that a revision contains. It returns false if there is none or it is not valid.
func stateOf(r live.Revision) (configfeed.State, bool) {
	var state configfeed.State
	if r.IsZero() || json.Unmarshal(r.State, &state) != nil || state.Verify() != nil {
		return configfeed.State{}, false
	}
	return state, true
}
