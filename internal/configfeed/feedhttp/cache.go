package feedhttp

import (
	"bytes"
	"compress/gzip"
	"encoding/json"

	"gorseledge/internal/configfeed"
)

const maxCachedUpdates = 32

// updateKey describes updates of one server apart: two with the same key are equal (see configfeed.AnswerPoll).
type updateKey struct {
	kind         configfeed.UpdateKind
	version      configfeed.Version
	from         configfeed.Version
	isolated     bool
	hasRevisions bool
	hasDeltas    bool
}

func keyOf(u configfeed.Update) updateKey {
	key := updateKey{kind: u.Kind, version: u.Version, isolated: u.Isolated, hasRevisions: len(u.Revisions) > 0, hasDeltas: len(u.Deltas) > 0}
	switch {
	case key.hasDeltas:
		key.from = u.Deltas[0].From
	case key.hasRevisions:
		key.from = u.Revisions[0].Delta.From
	}
	return key
}

// minCompressedBytes is the size of an answer from which it is compressed, in bytes.
const minCompressedBytes = 1 << 10

// encodedAnswer is the body of an answer, and its form by gzip where that is smaller.
type encodedAnswer struct{ text, compressed []byte }

// compress adds the compressed form of an answer that is large.
func (a *encodedAnswer) compress() {
	if len(a.text) < minCompressedBytes {
		return
	}
	var out bytes.Buffer
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed) // fails for another level only
	w.Write(a.text)                                   // to memory: it does not fail
	w.Close()
	if out.Len() < len(a.text) {
		a.compressed = out.Bytes()
	}
}

// updateCache keeps the encoded form of the newest updates: after a change, most followers get the same one.
type updateCache struct {
	version configfeed.Version
	answers map[updateKey]encodedAnswer
}

// encode returns an update as JSON. The caller must not change it.
func (c *updateCache) encode(u configfeed.Update) (encodedAnswer, error) {
	if u.Version != c.version || len(c.answers) >= maxCachedUpdates || c.answers == nil {
		c.version, c.answers = u.Version, map[updateKey]encodedAnswer{}
	}
	key := keyOf(u)
	if answer, found := c.answers[key]; found {
		return answer, nil
	}
	text, err := json.Marshal(u)
	if err != nil {
		return encodedAnswer{}, err
	}
	answer := encodedAnswer{text: text}
	answer.compress()
	c.answers[key] = answer
	return answer, nil
}
