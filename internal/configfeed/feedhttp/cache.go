package feedhttp

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"

	"gorseledge/internal/configfeed"
)

// maxCachedUpdates bounds the updates of one version that are cached.
const maxCachedUpdates = 32

// updateKey identifies an update of a server: two with the same key are equal (see configfeed.AnswerPoll).
type updateKey struct {
	kind         configfeed.UpdateKind
	version      configfeed.Version
	from         configfeed.Version // of the first delta or revision
	isolated     bool
	hasRevisions bool
	hasDeltas    bool
}

// keyOf returns the key of an update.
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

// minCompressedBytes is the size from which an answer is compressed, in bytes.
const minCompressedBytes = 1 << 10

// encodedAnswer is the body of an answer.
type encodedAnswer struct {
	text       []byte // JSON
	compressed []byte // text in gzip; nil where that is not smaller
}

// compress adds the compressed form of an answer that is large.
func (a *encodedAnswer) compress() {
	if len(a.text) < minCompressedBytes {
		return
	}
	var out bytes.Buffer
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed) // only an unknown level is an error
	w.Write(a.text)                                   // writing to memory does not fail
	w.Close()
	if out.Len() < len(a.text) {
		a.compressed = out.Bytes()
	}
}

// updateCache caches the encoded form of the updates of one version: after a change, most followers are sent the same
// one. The zero value is ready to use.
type updateCache struct {
	version configfeed.Version
	answers map[updateKey]encodedAnswer
}

// encode returns the encoded form of an update. The caller must not change it.
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
