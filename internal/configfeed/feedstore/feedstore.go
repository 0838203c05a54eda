// Package feedstore keeps the log of a control server in one bbolt file: a base state and the revisions that lead on
// from it. The newest state, the history and the identifiers of applied proposals all follow from these.
//
// The package owns the format of the file and makes writes durable. It does not decide which revisions are accepted.
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
	fileMode = 0o600 // a log is readable by the server's user alone
	lockWait = time.Second

	// compactedRevisions is how many revisions become part of the base at once, so that the base is rarely written.
	compactedRevisions = 256
)

var (
	bucketName = []byte("log")
	baseKey    = []byte("base")
	// historyPrefix precedes the position of a revision, 8 bytes in big endian.
	historyPrefix = []byte("revision ")
)

var (
	errOpenElsewhere = errors.New("another process has it open")
	errDamaged       = errors.New("the file is damaged")
)

// Store is an open log. At may be called by several goroutines, Save by one at a time.
type Store struct {
	db     *bbolt.DB
	newest configfeed.Version // that is on disk
}

// Open opens the log in a directory, or creates both, and returns what the log holds. A file that is truncated or damaged
// is an error that names the file, as far as that can be found without the risks of Check. The log is locked: a second
// process gets an error.
func Open(directory string) (*Store, configfeed.Stored, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, configfeed.Stored{}, fmt.Errorf("creating the directory of the log: %w", err)
	}
	path := filepath.Join(directory, fileName)
	store := &Store{}
	stored, err := store.open(path)
	if err != nil {
		return nil, configfeed.Stored{}, fmt.Errorf("%s: %w", path, err)
	}
	return store, stored, nil
}

// open opens a file and reads all records before anything relies on them. After an error nothing is open. Where pages are
// damaged, the library may panic, or read beyond the end of the file: both become errors here.
func (s *Store) open(path string) (stored configfeed.Stored, err error) {
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

// prepare checks the size and all records, and creates what a new file lacks.
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

// syncDirectory makes the name of a new file durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}

// checkSize returns an error where the file is shorter than its meta page states.
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

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }
