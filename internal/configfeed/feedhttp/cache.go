package feedhttp

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"

	"gorseledge/internal/configfeed"
)

// maxCachedUpdates bounds the number of cached updates.
const maxCachedUpdates = 32

// updateKey identifies an update of a server: updates with the same key are equal (see configfeed.AnswerPoll).
type updateKey struct {
	kind         configfeed.UpdateKind
	version      configfeed.Version
	from         configfeed.Version // version that the first delta or revision starts from
	isolated     bool
	hasRevisions bool
	hasDeltas    bool
}

func keyOf(u configfeed.Update) updateKey {
	key := updateKey{
		kind:         u.Kind,
		version:      u.Version,
		isolated:     u.Isolated,
		hasRevisions: len(u.Revisions) > 0,
		hasDeltas:    len(u.Deltas) > 0,
	}
	switch {
	case key.hasDeltas:
		key.from = u.Deltas[0].From
	case key.hasRevisions:
		key.from = u.Revisions[0].Delta.From
	}
	return key
}

// minCompressedBytes is the smallest size at which an answer is compressed.
const minCompressedBytes = 1 << 10

// encodedAnswer is the body of an answer.
type encodedAnswer struct {
	text       []byte // JSON
	compressed []byte // text in gzip; nil if text is short, or gzip does not make it smaller
}

// compress adds the compressed form of an answer, if it has at least minCompressedBytes.
func (a *encodedAnswer) compress() {
	if len(a.text) < minCompressedBytes {
		return
	}
	var out bytes.Buffer
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed) // returns an error only for an unknown level
	w.Write(a.text)                                   // writing to memory does not fail
	w.Close()
	if out.Len() < len(a.text) {
		a.compressed = out.Bytes()
	}
}

// updateCache caches the encoded form of the updates of one version, because most followers are sent the same update after
// a change. The zero value is ready to use.
type updateCache struct {
	version configfeed.Version
	answers map[updateKey]encodedAnswer
}

// encode returns the encoded form of an update, which the caller must not change.
func (c *updateCache) encode(u configfeed.Update) (encodedAnswer, error) {
	if u.Version != c.version || len(c.answers) >= maxCachedUpdates || c.answers == nil {
		c.version = u.Version
		c.answers = map[updateKey]encodedAnswer{}
	}
	key := keyOf(u)
	if answer, found := c.answers[key]; found {
		return answer, nil
	}
	text, err := json.Marshal(u)
	if err != nil {
		return encodedAnswer{}, fmt.Errorf("encoding an update: %w", err)
	}
	answer := encodedAnswer{text: text}
	answer.compress()
	c.answers[key] = answer
	return answer, nil
}
