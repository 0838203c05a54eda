package feedstore

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
)

const (
	firstDataPage = 2      // after the two meta pages
	freePage      = "free" // bbolt's name for the type of an unused page
)

// Check reads every page and record of the log in a directory, and returns an error for the first damaged one. A
// directory without a log is valid. On a damaged file bbolt may end the process or never return, so Check has to run in a
// separate process. No other process may have the file open.
func Check(directory string) error {
	path := filepath.Join(directory, fileName)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err := checkFile(path); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// checkFile opens and checks the file of a log.
func checkFile(path string) error {
	db, err := openFile(path, &bbolt.Options{Timeout: lockWait, ReadOnly: true, PreLoadFreelist: true})
	if err != nil {
		return err
	}
	defer db.Close()
	if err := checkSize(db, path); err != nil {
		return err
	}
	return db.View(func(tx *bbolt.Tx) error {
		if err := checkPages(tx); err != nil {
			return err
		}
		if err := checkStructure(tx); err != nil {
			return err
		}
		return checkRecords(tx)
	})
}

// checkStructure runs bbolt's own check and returns its first error. It receives all errors, since bbolt reads the file
// until the last error is received.
func checkStructure(tx *bbolt.Tx) error {
	var first error
	for err := range tx.Check() {
		first = cmp.Or(first, err)
	}
	if first != nil {
		return fmt.Errorf("%w: %w", errDamaged, first)
	}
	return nil
}

// checkPages returns an error for a page whose overflow count extends beyond the end of the file. Without it, bbolt's own
// check could iterate over billions of pages.
func checkPages(tx *bbolt.Tx) error {
	for id := firstDataPage; ; id++ {
		page, err := tx.Page(id)
		if page == nil || err != nil {
			return err
		}
		if page.Type == freePage { // the header of an unused page is obsolete
			continue
		}
		last := id + page.OverflowCount
		if lastPage, _ := tx.Page(last); lastPage == nil {
			return fmt.Errorf("%w: page %d extends to page %d, beyond the end of the file", errDamaged, id, last)
		}
		id = last
	}
}
