package feedstore

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"

	"gorseledge/internal/configfeed"
)

func historyKey(position uint64) []byte {
	return binary.BigEndian.AppendUint64(bytes.Clone(historyPrefix), position)
}

// forEachRevision calls do with every revision of the log, oldest first, and its key.
func forEachRevision(bucket *bbolt.Bucket, do func(key []byte, r configfeed.Revision) error) error {
	cursor := bucket.Cursor()
	for key, value := cursor.Seek(historyPrefix); bytes.HasPrefix(key, historyPrefix); key, value = cursor.Next() {
		var r configfeed.Revision
		if err := decodeRecord(value, &r); err != nil {
			return err
		}
		if err := do(key, r); err != nil {
			return err
		}
	}
	return nil
}

// loadBase returns the state before the first revision that can be played from it.
func loadBase(bucket *bbolt.Bucket) (state configfeed.State, err error) {
	value := bucket.Get(baseKey)
	if value == nil {
		return configfeed.NewState(configfeed.Version{}, nil)
	}
	if err := decodeRecord(value, &state); err != nil {
		return state, err
	}
	if err := state.Verify(); err != nil {
		return state, fmt.Errorf("the file is damaged: %w", err)
	}
	return state, nil
}

// replay returns the state of the log once up to has been reached, the newest one where it is zero. Revisions from before
// the base are history only.
func replay(bucket *bbolt.Bucket, up configfeed.Version) (configfeed.State, error) {
	state, err := loadBase(bucket)
	if err != nil {
		return state, err
	}
	reached := func() bool { return up != configfeed.Version{} && state.Version == up }
	err = forEachRevision(bucket, func(_ []byte, r configfeed.Revision) error {
		if r.Delta.To.Compare(state.Version) <= 0 || reached() {
			return nil
		}
		next, err := state.Apply(r.Delta)
		if err != nil {
			return fmt.Errorf("revision %d does not follow: %w", r.Delta.To.Revision, err)
		}
		state = next
		return nil
	})
	if err == nil && up != (configfeed.Version{}) && !reached() {
		err = configfeed.ErrRevisionNotFound
	}
	return state, err
}

// load returns all that the log holds.
func (s *Store) load() (stored configfeed.Stored, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketName)
		if stored.State, err = replay(bucket, configfeed.Version{}); err != nil {
			return err
		}
		return forEachRevision(bucket, func(_ []byte, r configfeed.Revision) error {
			stored.History = append(stored.History, r)
			return nil
		})
	})
	if excess := len(stored.History) - configfeed.HistoryRevisions; excess > 0 {
		stored.History = stored.History[excess:]
	}
	return stored, err
}

// At returns the state as it was at a version.
func (s *Store) At(v configfeed.Version) (state configfeed.State, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		state, err = replay(tx.Bucket(bucketName), v)
		return err
	})
	return state, err
}

// Save makes a state durable: by the revisions that lead to it, or as a new base where there are none. The file is
// synced when it returns without an error.
func (s *Store) Save(state configfeed.State, added []configfeed.Revision) error {
	if !leadsTo(s.newest, state.Version, added) {
		return fmt.Errorf("the revisions do not lead from %v to %v", s.newest, state.Version)
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketName)
		if len(added) == 0 {
			return putRecord(bucket, baseKey, state)
		}
		return appendRevisions(bucket, added)
	})
	if err == nil {
		s.newest = state.Version
	}
	return err
}

// leadsTo reports whether revisions join two versions; none at all always do, as the state replaces the one before.
func leadsTo(from, to configfeed.Version, added []configfeed.Revision) bool {
	if len(added) == 0 {
		return true
	}
	for _, r := range added {
		if r.Delta.From != from {
			return false
		}
		from = r.Delta.To
	}
	return from == to
}

func appendRevisions(bucket *bbolt.Bucket, added []configfeed.Revision) error {
	for _, r := range added {
		position, err := bucket.NextSequence()
		if err != nil {
			return err
		}
		if err := putRecord(bucket, historyKey(position), r); err != nil {
			return err
		}
	}
	return compact(bucket)
}

// compact makes the oldest revisions part of the base once there are enough beyond those that are kept.
func compact(bucket *bbolt.Bucket) error {
	cursor := bucket.Cursor()
	oldest, _ := cursor.Seek(historyPrefix)
	if !bytes.HasPrefix(oldest, historyPrefix) {
		return nil
	}
	first := binary.BigEndian.Uint64(oldest[len(historyPrefix):])
	if kept := bucket.Sequence() - first + 1; kept < configfeed.HistoryRevisions+compactedRevisions {
		return nil
	}
	state, err := loadBase(bucket)
	if err != nil {
		return err
	}
	for position := first; position < first+compactedRevisions; position++ {
		var r configfeed.Revision
		if err := decodeRecord(bucket.Get(historyKey(position)), &r); err != nil {
			return err
		}
		if r.Delta.To.Compare(state.Version) > 0 {
			if state, err = state.Apply(r.Delta); err != nil {
				return err
			}
		}
		if err := bucket.Delete(historyKey(position)); err != nil {
			return err
		}
	}
	return putRecord(bucket, baseKey, state)
}
