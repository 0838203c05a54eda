package feedstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Check reads every page and record of the log in a directory, and tells what is wrong with the first that is. A
// directory without a log is good. On a damaged file the library may end the process or not return at all: it is meant
// for a process of its own, and for a file that nobody has open.
func Check(directory string) error {
	path := filepath.Join(directory, fileName)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err := check(path); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func check(path string) error {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait, ReadOnly: true, PreLoadFreelist: true})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return errOpenElsewhere
	case err != nil:
		return err
	}
	defer db.Close()
	if err := checkSize(db, path); err != nil {
		return err
	}
	return db.View(func(tx *bbolt.Tx) error {
		for err := range tx.Check() {
			// The library goes on with all that it finds; there is nothing to wait for.
			return fmt.Errorf("the file is damaged: %w", err)
		}
		return checkRecords(tx)
	})
}
