package feedhttp

import (
	"encoding/json"

	"gorseledge/internal/configfeed"
)

const maxCachedUpdates = 32

// updateKey tells updates of one server apart: two with the same key are equal (see configfeed.AnswerPoll).
type updateKey struct {
	kind         configfeed.UpdateKind
	version      configfeed.Version
	from         configfeed.Version
	hasRevisions bool
	hasDeltas    bool
}

func keyOf(u configfeed.Update) updateKey {
	key := updateKey{kind: u.Kind, version: u.Version, hasRevisions: len(u.Revisions) > 0, hasDeltas: len(u.Deltas) > 0}
	switch {
	case key.hasDeltas:
		key.from = u.Deltas[0].From
	case key.hasRevisions:
		key.from = u.Revisions[0].Delta.From
	}
	return key
}

// updateCache keeps the encoded form of the newest updates: after a change, most followers get the same one.
type updateCache struct {
	version configfeed.Version
	texts   map[updateKey][]byte
}

// encode gives an update as JSON. The caller must not change it.
func (c *updateCache) encode(u configfeed.Update) ([]byte, error) {
	if u.Version != c.version || len(c.texts) >= maxCachedUpdates || c.texts == nil {
		c.version, c.texts = u.Version, map[updateKey][]byte{}
	}
	key := keyOf(u)
	if text, found := c.texts[key]; found {
		return text, nil
	}
	text, err := json.Marshal(u)
	if err == nil {
		c.texts[key] = text
	}
	return text, err
}
