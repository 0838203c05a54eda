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
	freePage      = "free" // the type of a page that is not in use, as bbolt names it
)

// Check reads every page and record of the log in a directory, and returns an error for the first that is damaged. A
// directory without a log is valid. On a damaged file the library may end the process or not return at all, so Check is
// meant for a process of its own, and for a file that no process has open.
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

// checkFile opens and checks a file.
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

// checkStructure runs the library's own check and returns its first error. It reads all errors, since the check reads the
// file until then.
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

// checkPages returns an error for a page that states that it reaches beyond the file. This prevents the library's check
// from counting billions of pages.
func checkPages(tx *bbolt.Tx) error {
	for id := firstDataPage; ; id++ {
		page, err := tx.Page(id)
		if page == nil || err != nil {
			return err
		}
		if page.Type == freePage { // its header is left over
			continue
		}
		last := id + page.OverflowCount
		if lastPage, _ := tx.Page(last); lastPage == nil {
			return fmt.Errorf("%w: page %d reaches to page %d", errDamaged, id, last)
		}
		id = last
	}
}
