package feedstore

import (
	"cmp"
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
	if err := checkFile(path); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func checkFile(path string) error {
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
		if err := checkPages(tx); err != nil {
			return err
		}
		var first error
		for err := range tx.Check() { // to its end: until then it reads the file
			first = cmp.Or(first, err)
		}
		if first != nil {
			return fmt.Errorf("the file is damaged: %w", first)
		}
		return checkRecords(tx)
	})
}

const firstDataPage = 2 // after the two heads

// checkPages guards against a page that claims to reach beyond the file: the library would count billions of pages.
func checkPages(tx *bbolt.Tx) error {
	for id := firstDataPage; ; id++ {
		page, err := tx.Page(id)
		if page == nil || err != nil {
			return err
		}
		if page.Type == "free" { // what is left in it means nothing
			continue
		}
		last := id + page.OverflowCount
		if beyond, _ := tx.Page(last); beyond == nil {
			return fmt.Errorf("the file is damaged: page %d reaches to page %d", id, last)
		}
		id = last
	}
}
