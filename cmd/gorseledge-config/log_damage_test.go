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
	changedBits     = 0x55 // bits that are inverted in the byte that a trial changes

	firstOffset  = 5   // offset of the first changed byte, in bytes
	sweepStep    = 997 // bytes between two trials of a sweep; a prime, so that the trials reach all parts of a page
	sweepShift   = 149 // bytes by which each sweep is shifted from the previous one
	maxSweeps    = 20
	maxServeRuns = 3 // trials of the sweeps that also start a server; bounded because each server is a process
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

// logOf returns the file of a server's log after a number of revisions, and the decoded content of the log.
func logOf(t *testing.T, revisions int) ([]byte, configfeed.StoredLog) {
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
		delta := configfeed.Delta{From: state.Version, To: to, Set: entries, Digest: next.Digest}
		r := configfeed.Revision{Delta: delta, Author: "test"}
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

// freelistPage is bbolt's name for the type of page that lists the free pages.
const freelistPage = "freelist"

// dataPage is a page of a log other than the two meta pages.
type dataPage struct {
	id   int
	kind string // bbolt's name of its type: branch, leaf or freelist
}

// pagesInUse returns the data pages that the newest transaction of a log uses.
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

// structureBytes returns, for each page in use, the bytes of its header, where any change must be refused. For those with
// namesPage set, the error must name the page, independent of what the pages hold. One of these is the first entry in the
// list of free pages: only bbolt's complete check detects that it is wrong.
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

// structureByte is a byte of a log that belongs to the structure of its pages.
type structureByte struct {
	offset    int
	namesPage bool // the error after a change of this byte must name the page
	served    bool // a server is started with this byte changed, as well as the check
}

// damageTrial changes single bytes of a log and checks the results.
type damageTrial struct {
	t       *testing.T
	text    []byte               // content of the log's file
	stored  configfeed.StoredLog // decoded content of the log
	server  *server              // is started with some of the changed logs
	refused int                  // number of changed logs that the check refused
}

// changedLog writes a copy of the log with one byte changed, and returns its directory.
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

// check changes one byte and runs check-log. The log must be refused with an error of one line, or still have the original
// content or that of one revision earlier. It returns whether the log was refused, and what check-log printed.
func (d *damageTrial) check(offset int) (refused bool, printed string) {
	d.t.Helper()
	directory := d.changedLog(offset)
	r := run(d.t, "check-log", directory)
	if r.code != 0 {
		d.refused++
		if !r.isErrorLine(exitRefused, directory) {
			d.t.Errorf("byte %d: %+v", offset, r)
		}
		return true, r.errors
	}
	store, stored, err := feedstore.Open(directory)
	if err != nil {
		d.t.Errorf("byte %d: the check passed, but opening the log failed: %v", offset, err)
		return false, ""
	}
	store.Close()
	shorter := len(stored.History) == len(d.stored.History)-1
	earlier := shorter && reflect.DeepEqual(stored.History, d.stored.History[:len(stored.History)])
	if !earlier && !reflect.DeepEqual(stored, d.stored) {
		d.t.Errorf("byte %d: the changed log was accepted with %d revisions, version %v", offset, len(stored.History),
			stored.State.Version)
	}
	return false, ""
}

// serve starts a server with one byte of its log changed. The server must refuse to start, with an error that names the
// page.
func (d *damageTrial) serve(offset int) {
	d.t.Helper()
	copyDirectory(d.t, d.changedLog(offset), d.server.config.Directory)
	if r := run(d.t, "serve", d.server.file); !r.isErrorLine(exitRefused, "page ") {
		d.t.Errorf("byte %d, with a server: %+v", offset, r)
	}
}

// checkSweep checks the log with every sweepStep-th byte changed in turn. With the first changed logs whose error names a
// page, it also starts a server, until maxServeRuns servers have been started in all sweeps. The parameter served is the
// number of earlier ones; the result includes those of this sweep.
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

// A disk may return a changed byte of the log. A server that started with such a log could crash, hang, or distribute a
// configuration that no operator made. A changed byte must be refused with an error of one line, or be harmless because it
// is in a page that is not in use. If a meta page is damaged, bbolt uses the previous one, which has the state of one write
// earlier.
func TestChangedByteOfLogIsRefusedOrHarmless(t *testing.T) {
	text, stored := logOf(t, loggedRevisions)
	trial := &damageTrial{t: t, text: text, stored: stored, server: newServers(t, 1)[0]}
	// The layout of the pages differs from log to log, so sweeps are repeated until a server was started with a changed log.
	served := trial.checkSweep(0, 0)
	for sweep := 1; sweep < maxSweeps && served == 0; sweep++ {
		served = trial.checkSweep(sweep, served)
	}
	for _, b := range structureBytes(t, text) {
		refused, printed := trial.check(b.offset)
		if !refused {
			t.Errorf("byte %d: the change of a page's header was not refused", b.offset)
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
		t.Errorf("%d changes were refused and %d tried with a server, want at least one of each", trial.refused, served)
	}
}

// Opening a truncated log, such as an incomplete copy, could crash the server or lose revisions. The server must refuse to
// start, with an error of one line that names the directory.
func TestServerDoesNotStartWithTruncatedLog(t *testing.T) {
	text, _ := logOf(t, 40)
	s := newServers(t, 1)[0]
	if err := os.MkdirAll(s.config.Directory, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(s.config.Directory, logFileName)
	// The end of the file is free space that a truncation may remove without loss. Half of the file is always too little.
	for _, size := range []int{1, 100, os.Getpagesize(), 2*os.Getpagesize() + 1, len(text) / 2} {
		if err := os.WriteFile(path, text[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		if r := run(t, "serve", s.file); !r.isErrorLine(exitRefused, s.config.Directory) {
			t.Errorf("%d of %d bytes: %+v", size, len(text), r)
		}
	}
}
