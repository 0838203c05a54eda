package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedstore"
)

const (
	logFileName     = "configuration.db"
	loggedRevisions = 40
	changedBits     = 0x55 // are flipped in the byte that a trial changes

	firstOffset  = 5   // bytes from the start of the file to the first changed byte
	sweepStep    = 997 // bytes between two trials of a sweep: a prime, so that every part of a page is reached
	sweepShift   = 149 // bytes by which each sweep is shifted against the one before
	maxSweeps    = 20
	maxServeRuns = 3 // swept bytes with which a server is started: each takes a process
)

// Offsets of the fields of a page's header in the file format of bbolt, in bytes, little endian.
const (
	pageIDOffset       = 0
	pageFlagsOffset    = 8
	pageCountOffset    = 10
	pageOverflowOffset = 12
	pageContentOffset  = 16
	firstDataPage      = 2 // after the two meta pages
)

// logOf returns the log of a server after some revisions, and what it holds.
func logOf(t *testing.T, revisions int) ([]byte, configfeed.Stored) {
	t.Helper()
	directory := t.TempDir()
	store, stored, err := feedstore.Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	state := stored.State
	for i := range revisions {
		to := configfeed.Version{Epoch: 1, Revision: uint64(i + 1)}
		entries := []configfeed.Entry{{Key: "nodes", Value: fmt.Sprint(i)}}
		next, err := configfeed.NewState(to, entries)
		if err != nil {
			t.Fatal(err)
		}
		r := configfeed.Revision{Delta: configfeed.Delta{From: state.Version, To: to, Set: entries, Digest: next.Digest}, Author: "test"}
		if err := store.Save(next, []configfeed.Revision{r}); err != nil {
			t.Fatal(err)
		}
		state = next
	}
	store.Close()
	text, err := os.ReadFile(filepath.Join(directory, logFileName))
	if err != nil {
		t.Fatal(err)
	}
	_, stored, err = feedstore.Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	return text, stored
}

// freelistPage is the kind of the page that lists the free pages.
const freelistPage = "freelist"

// dataPage is one page of a log beside the two meta pages.
type dataPage struct {
	id   int
	kind string // as bbolt names it: branch, leaf or freelist
}

// pagesInUse lists the data pages that the newest transaction of a log uses.
func pagesInUse(t *testing.T, text []byte) []dataPage {
	t.Helper()
	path := filepath.Join(t.TempDir(), logFileName)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, PreLoadFreelist: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var pages []dataPage
	err = db.View(func(tx *bbolt.Tx) error {
		for id := firstDataPage; ; id++ {
			page, err := tx.Page(id)
			if page == nil || err != nil {
				return err
			}
			if page.Type != "free" {
				pages = append(pages, dataPage{id: page.ID, kind: page.Type})
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return pages
}

// structureBytes lists, for each page in use, the bytes of its header, of which every change is refused. For those that
// are marked, the error names the page, whatever the pages hold; the first freed page in the list of free pages is one
// of them, and only the complete check of bbolt notices that it is wrong.
func structureBytes(t *testing.T, text []byte) []structureByte {
	t.Helper()
	var all []structureByte
	for _, page := range pagesInUse(t, text) {
		start := page.id * os.Getpagesize()
		all = append(all,
			structureByte{offset: start + pageIDOffset},
			structureByte{offset: start + pageFlagsOffset, namesPage: page.kind != freelistPage},
			structureByte{offset: start + pageCountOffset, namesPage: page.kind == freelistPage},
			structureByte{offset: start + pageOverflowOffset, namesPage: true, served: true},
		)
		if page.kind == freelistPage {
			all = append(all, structureByte{offset: start + pageContentOffset, namesPage: true, served: true})
		}
	}
	return all
}

// structureByte is a byte of a log that bbolt needs in order to find its pages.
type structureByte struct {
	offset    int
	namesPage bool // the error of a change names the page
	served    bool // a server is started with the change as well
}

// damageTrial changes single bytes of a log.
type damageTrial struct {
	t       *testing.T
	text    []byte            // of the log's file
	stored  configfeed.Stored // what the log holds
	server  *server           // is started with some of the changes
	refused int
}

// changedLog writes the log with one byte changed, and returns its directory.
func (d *damageTrial) changedLog(offset int) string {
	d.t.Helper()
	directory := d.t.TempDir()
	changed := bytes.Clone(d.text)
	changed[offset] ^= changedBits
	if err := os.WriteFile(filepath.Join(directory, logFileName), changed, 0o600); err != nil {
		d.t.Fatal(err)
	}
	return directory
}

// check changes a byte and checks the log: it has to be refused in one line, or hold what it held, or what it held one
// revision earlier. The result is whether it was refused, with what was printed.
func (d *damageTrial) check(offset int) (refused bool, printed string) {
	d.t.Helper()
	directory := d.changedLog(offset)
	r := run(d.t, "check-log", directory)
	if r.code != 0 {
		d.refused++
		if !r.oneLine(exitRefused, directory) {
			d.t.Errorf("byte %d: %+v", offset, r)
		}
		return true, r.errors
	}
	store, stored, err := feedstore.Open(directory)
	if err != nil {
		d.t.Errorf("byte %d: the check passed, and then %v", offset, err)
		return false, ""
	}
	store.Close()
	shorter := len(stored.History) == len(d.stored.History)-1
	earlier := shorter && reflect.DeepEqual(stored.History, d.stored.History[:len(stored.History)])
	if !earlier && !reflect.DeepEqual(stored, d.stored) {
		d.t.Errorf("byte %d: it was taken for %d revisions, version %v", offset, len(stored.History), stored.State.Version)
	}
	return false, ""
}

// serve starts a server with a byte of its log changed. The server has to refuse, and to name the page.
func (d *damageTrial) serve(offset int) {
	d.t.Helper()
	copyDirectory(d.t, d.changedLog(offset), d.server.config.Directory)
	if r := run(d.t, "serve", d.server.file); !r.oneLine(exitRefused, "page ") {
		d.t.Errorf("byte %d, served: %+v", offset, r)
	}
}

// checkSweep changes every sweepStep-th byte of the log. A server is started with the first few changes whose error
// names a page; the result is with how many, served included.
func (d *damageTrial) checkSweep(sweep, served int) int {
	d.t.Helper()
	for offset := firstOffset + sweep*sweepShift%sweepStep; offset < len(d.text); offset += sweepStep {
		refused, printed := d.check(offset)
		if refused && strings.Contains(printed, "page ") && served < maxServeRuns {
			served++
			d.serve(offset)
		}
	}
	return served
}

// A byte that is not what it was is an error of one line, or makes no difference: it is in a page that is not in use.
// A damaged meta page makes the library take the one before it, which is the state one write earlier.
func TestChangedByteOfLogIsRefusedOrHarmless(t *testing.T) {
	text, stored := logOf(t, loggedRevisions)
	trial := &damageTrial{t: t, text: text, stored: stored, server: newServers(t, 1)[0]}
	// Where the parts of a page lie differs from log to log: bytes are swept until a server was started with one.
	served := trial.checkSweep(0, 0)
	for sweep := 1; sweep < maxSweeps && served == 0; sweep++ {
		served = trial.checkSweep(sweep, served)
	}
	for _, b := range structureBytes(t, text) {
		refused, printed := trial.check(b.offset)
		if !refused {
			t.Errorf("byte %d of a page's structure was changed and not refused", b.offset)
		}
		if b.namesPage && !strings.Contains(printed, "page ") {
			t.Errorf("byte %d: the error does not name the page: %q", b.offset, printed)
		}
		if b.served {
			served++
			trial.serve(b.offset)
		}
	}
	if trial.refused == 0 || served == 0 {
		t.Errorf("%d changes were refused, and %d of them tried with a server", trial.refused, served)
	}
}

func TestServerDoesNotStartWithTruncatedLog(t *testing.T) {
	text, _ := logOf(t, 40)
	s := newServers(t, 1)[0]
	if err := os.MkdirAll(s.config.Directory, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(s.config.Directory, logFileName)
	// The last part of the file is room for what comes next: half of it is certainly too little.
	for _, size := range []int{1, 100, os.Getpagesize(), 2*os.Getpagesize() + 1, len(text) / 2} {
		if err := os.WriteFile(path, text[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		if r := run(t, "serve", s.file); !r.oneLine(exitRefused, s.config.Directory) {
			t.Errorf("%d of %d bytes: %+v", size, len(text), r)
		}
	}
}
