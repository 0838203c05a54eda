// Package feedstore stores the log of a control server in one bbolt file: a base state and the revisions that are applied
// to it. The newest state, the history and the IDs of applied proposals are all derived from these.
//
// The package defines the format of the file and makes writes durable. It does not decide which revisions are accepted.
package feedstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"gorseledge/internal/configfeed"
)

const (
	fileName = "configuration.db"
	fileMode = 0o600       // only the server's user may read the log
	lockWait = time.Second // how long to wait for another process to release the file

	// compactedRevisions is the number of revisions that a compaction merges into the base. It is large because each
	// compaction writes the complete base.
	compactedRevisions = 256
)

var (
	bucketName = []byte("log")
	baseKey    = []byte("base")
	// historyPrefix is the prefix of a revision's key. The position of the revision follows, as 8 bytes in big endian.
	historyPrefix = []byte("revision ")
)

var (
	errOpenElsewhere = errors.New("another process has it open")
	errDamaged       = errors.New("the file is damaged")
)

// Store is an open log. At is safe for concurrent use; Save may be called by only one goroutine at a time.
type Store struct {
	db     *bbolt.DB
	newest configfeed.Version // newest version on disk
}

// Open opens the log in a directory and returns its content. It creates the directory and the log if they do not exist.
// For a truncated or damaged file it returns an error with the path, but it detects only the damage that can be found
// without the risks of Check. The file is locked: Open fails while another process has the log open.
func Open(directory string) (*Store, configfeed.StoredLog, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, configfeed.StoredLog{}, fmt.Errorf("creating the directory of the log: %w", err)
	}
	path := filepath.Join(directory, fileName)
	store := &Store{}
	stored, err := store.open(path)
	if err != nil {
		return nil, configfeed.StoredLog{}, fmt.Errorf("%s: %w", path, err)
	}
	return store, stored, nil
}

// open opens a file, checks all records and loads them. After an error the file is closed. If pages are damaged, bbolt may
// panic or read beyond the end of the file; open converts both into errors.
func (s *Store) open(path string) (stored configfeed.StoredLog, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errDamaged, cause)
		}
		if err != nil && s.db != nil {
			s.db.Close()
		}
	}()
	s.db, err = openFile(path, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return stored, err
	}
	if err := s.prepare(path); err != nil {
		return stored, err
	}
	stored, err = s.load()
	s.newest = stored.State.Version
	return stored, err
}

// openFile opens and locks a bbolt file.
func openFile(path string, options *bbolt.Options) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, fileMode, options)
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, errOpenElsewhere
	}
	return db, err
}

// prepare checks the size of the file and all records, and creates the bucket in a new file.
func (s *Store) prepare(path string) error {
	if err := checkSize(s.db, path); err != nil {
		return err
	}
	if err := s.db.View(checkRecords); err != nil {
		return err
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucketName)
		return err
	})
	if err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

// syncDirectory syncs a directory, so that the entry of a new file in it is durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}

// checkSize returns an error if the file is shorter than its meta page states.
func checkSize(db *bbolt.DB, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return db.View(func(tx *bbolt.Tx) error {
		if info.Size() < tx.Size() {
			return fmt.Errorf("the file is truncated: got %d of %d bytes", info.Size(), tx.Size())
		}
		return nil
	})
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }
