package feedstore

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"

	"gorseledge/internal/configfeed"
)

// historyKey returns the key of the revision at a position. Positions count all revisions of the log, from 1.
func historyKey(position uint64) []byte {
	return binary.BigEndian.AppendUint64(bytes.Clone(historyPrefix), position)
}

// forEachRevision calls visit with the key and the value of every revision of the log, oldest first. It stops at the first
// error.
func forEachRevision(bucket *bbolt.Bucket, visit func(key []byte, r configfeed.Revision) error) error {
	cursor := bucket.Cursor()
	for key, value := cursor.Seek(historyPrefix); bytes.HasPrefix(key, historyPrefix); key, value = cursor.Next() {
		var r configfeed.Revision
		if err := decodeRecord(value, &r); err != nil {
			return err
		}
		if err := visit(key, r); err != nil {
			return err
		}
	}
	return nil
}

// loadBase returns the base: the state to which the revisions newer than it are applied. It is the zero state in a new log.
func loadBase(bucket *bbolt.Bucket) (configfeed.State, error) {
	value := bucket.Get(baseKey)
	if value == nil {
		return configfeed.NewState(configfeed.Version{}, nil)
	}
	var state configfeed.State
	if err := decodeRecord(value, &state); err != nil {
		return state, err
	}
	if err := state.Verify(); err != nil {
		return state, fmt.Errorf("%w: %w", errDamaged, err)
	}
	return state, nil
}

// replayNewest returns the newest state of the log. Revisions that are older than the base are only kept as history.
func replayNewest(bucket *bbolt.Bucket) (configfeed.State, error) {
	state, err := loadBase(bucket)
	if err != nil {
		return state, err
	}
	err = forEachRevision(bucket, func(_ []byte, r configfeed.Revision) error {
		return applyNewer(&state, r)
	})
	return state, err
}

// replayTo returns the state of the log at a version, or configfeed.ErrRevisionNotFound.
func replayTo(bucket *bbolt.Bucket, version configfeed.Version) (configfeed.State, error) {
	state, err := loadBase(bucket)
	if err != nil {
		return state, err
	}
	err = forEachRevision(bucket, func(_ []byte, r configfeed.Revision) error {
		if state.Version == version {
			return nil
		}
		return applyNewer(&state, r)
	})
	if err == nil && state.Version != version {
		err = configfeed.ErrRevisionNotFound
	}
	return state, err
}

// applyNewer applies a revision to a state, unless the state is at least as new as the revision.
func applyNewer(state *configfeed.State, r configfeed.Revision) error {
	if r.Delta.To.Compare(state.Version) <= 0 {
		return nil
	}
	next, err := state.Apply(r.Delta)
	if err != nil {
		return fmt.Errorf("applying revision %d: %w", r.Delta.To.Revision, err)
	}
	*state = next
	return nil
}

// load returns the newest state of the log and the newest configfeed.HistoryRevisions revisions.
func (s *Store) load() (configfeed.StoredLog, error) {
	var stored configfeed.StoredLog
	err := s.db.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketName)
		var err error
		stored.State, err = replayNewest(bucket)
		if err != nil {
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

// At returns the state at a version; the zero version selects the newest state. The error is
// configfeed.ErrRevisionNotFound if the version is older than the base or not in the log.
func (s *Store) At(v configfeed.Version) (configfeed.State, error) {
	var state configfeed.State
	err := s.db.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketName)
		var err error
		if v == (configfeed.Version{}) {
			state, err = replayNewest(bucket)
		} else {
			state, err = replayTo(bucket, v)
		}
		return err
	})
	return state, err
}

// Save makes a state durable. It appends the revisions that lead to the state from the newest one, or replaces the base by
// the state if there are no revisions. When it returns without an error, the file is synced.
func (s *Store) Save(state configfeed.State, added []configfeed.Revision) error {
	if !leadsTo(s.newest, state.Version, added) {
		return fmt.Errorf("saving revisions: they do not lead from version %v to %v", s.newest, state.Version)
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

// leadsTo reports whether revisions lead from one version to another without a gap. It returns true if there are none,
// since the state replaces the base then.
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

// appendRevisions appends revisions to the log, and compacts the log if necessary.
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

// compact merges the oldest revisions into the base, once the log has compactedRevisions more than
// configfeed.HistoryRevisions.
func compact(bucket *bbolt.Bucket) error {
	cursor := bucket.Cursor()
	oldest, _ := cursor.Seek(historyPrefix)
	if !bytes.HasPrefix(oldest, historyPrefix) {
		return nil
	}
	first := binary.BigEndian.Uint64(oldest[len(historyPrefix):])
	kept := bucket.Sequence() - first + 1
	if kept < configfeed.HistoryRevisions+compactedRevisions {
		return nil
	}
	state, err := loadBase(bucket)
	if err != nil {
		return err
	}
	for position := first; position < first+compactedRevisions; position++ {
		if err := moveToBase(bucket, position, &state); err != nil {
			return err
		}
	}
	return putRecord(bucket, baseKey, state)
}

// moveToBase applies the revision at a position to the base and deletes the revision.
func moveToBase(bucket *bbolt.Bucket, position uint64, base *configfeed.State) error {
	key := historyKey(position)
	var r configfeed.Revision
	if err := decodeRecord(bucket.Get(key), &r); err != nil {
		return err
	}
	if err := applyNewer(base, r); err != nil {
		return err
	}
	return bucket.Delete(key)
}
