// Package feedstore keeps the log of a control server in one bbolt file: a base state and the revisions that lead on
// from it. The newest state, the history and the identifiers of applied proposals all follow from these.
package feedstore

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"gorseledge/internal/configfeed"
)

const (
	fileName     = "configuration.db"
	lockWait     = time.Second // for another process to let go of the file
	checksumSize = 8

	// compactedRevisions is how many revisions become part of the base at once, so that the base is rarely written.
	compactedRevisions = 256
)

var (
	bucketName = []byte("log")
	baseKey    = []byte("base")
	// historyPrefix comes before the position of a revision, 8 bytes, big endian.
	historyPrefix = []byte("revision ")
)

var errOpenElsewhere = errors.New("another process has it open")

// Store is the open log. At may be called from any goroutine, Save from one at a time.
type Store struct {
	db     *bbolt.DB
	newest configfeed.Version // that Save made durable
}

// Open opens the log in a directory, or begins one where there is none, and returns what it holds. A file that is cut
// short or changed is an error that names it, as far as that shows without the risks of Check.
func Open(directory string) (*Store, configfeed.Stored, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, configfeed.Stored{}, err
	}
	path := filepath.Join(directory, fileName)
	store, stored, err := openFile(path)
	if err != nil {
		return nil, configfeed.Stored{}, fmt.Errorf("%s: %w", path, err)
	}
	return store, stored, nil
}

// openFile reads all records before anything relies on them. The library may panic, or read beyond the file's end, where
// pages are not what they should be: both become errors here.
func openFile(path string) (store *Store, stored configfeed.Stored, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var db *bbolt.DB
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("the file is damaged: %v", cause)
		}
		if err != nil && db != nil {
			db.Close()
		}
	}()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, stored, errOpenElsewhere
	case err != nil:
		return nil, stored, err
	}
	if err := checkSize(db, path); err != nil {
		return nil, stored, err
	}
	if err := db.View(checkRecords); err != nil {
		return nil, stored, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucketName)
		return err
	})
	if err != nil {
		return nil, stored, err
	}
	if err := syncDirectory(filepath.Dir(path)); err != nil {
		return nil, stored, err
	}
	store = &Store{db: db}
	stored, err = store.load()
	store.newest = stored.State.Version
	return store, stored, err
}

// syncDirectory makes the name of a new file durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}

// checkSize guards against a file that is shorter than what its head speaks of.
func checkSize(db *bbolt.DB, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return db.View(func(tx *bbolt.Tx) error {
		if info.Size() < tx.Size() {
			return fmt.Errorf("the file is cut short: it has %d bytes of %d", info.Size(), tx.Size())
		}
		return nil
	})
}

// checkRecords reads every record.
func checkRecords(tx *bbolt.Tx) error {
	bucket := tx.Bucket(bucketName)
	if bucket == nil {
		return nil
	}
	return bucket.ForEach(func(_, value []byte) error {
		_, err := verifyChecksum(value)
		return err
	})
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// verifyChecksum returns what follows the checksum of a value.
func verifyChecksum(value []byte) ([]byte, error) {
	if len(value) < checksumSize || binary.BigEndian.Uint64(value) != xxhash.Sum64(value[checksumSize:]) {
		return nil, errors.New("the file is damaged: a record has another checksum")
	}
	return value[checksumSize:], nil
}

// putRecord writes a record.
func putRecord(bucket *bbolt.Bucket, key []byte, record any) error {
	text, err := json.Marshal(record)
	if err != nil {
		return err
	}
	value := binary.BigEndian.AppendUint64(make([]byte, 0, checksumSize+len(text)), xxhash.Sum64(text))
	return bucket.Put(key, append(value, text...))
}

// decodeRecord reads a record.
func decodeRecord(value []byte, record any) error {
	text, err := verifyChecksum(value)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, record); err != nil {
		return fmt.Errorf("the file is damaged: %w", err)
	}
	return nil
}
