package discovery

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gorseledge/internal/discovery/endpoint"
)

const indentedList = `{
  "index": 44,
  "snapshot": false,
  "endpoints": [
    {"name": "s-2", "address": "h:2", "status": "SERVING", "zone": "a } b \" {"},
    {
      "name": "s-3",
      "status": "DRAINING"
    }
  ]
}
`

// listsOf reads lists from a text and returns them in the form of describe, and the error.
func listsOf(r io.Reader) (lists string, err error) {
	err = readLists(r, func(list endpoint.List) { lists += describe(list) })
	return lists, err
}

// listTexts are the forms that the text of a watch may take.
var listTexts = []struct {
	name, text string
	wantLists  string // in the form of describe
	wantError  string // part of the error
}{
	{"a list a line", completeList + changedList, "41 true s-1 SERVING, 43 false s-1 DRAINING, ", "EOF"},
	{"indented", indentedList, "44 false s-2 SERVING, s-3 DRAINING, ", "EOF"},
	{"indented, between lists on one line", completeList + "\n" + indentedList + "\n" + changedList,
		"41 true s-1 SERVING, 44 false s-2 SERVING, s-3 DRAINING, 43 false s-1 DRAINING, ", "EOF"},
	{"two indented lists without a line between them", strings.TrimSuffix(indentedList, "\n") + indentedList,
		"44 false s-2 SERVING, s-3 DRAINING, 44 false s-2 SERVING, s-3 DRAINING, ", "EOF"},
	{"two lists on one line", strings.TrimSuffix(completeList, "\n") + changedList,
		"41 true s-1 SERVING, 43 false s-1 DRAINING, ", "EOF"},
	{"carriage returns", strings.ReplaceAll(completeList+indentedList, "\n", "\r\n"),
		"41 true s-1 SERVING, 44 false s-2 SERVING, s-3 DRAINING, ", "EOF"},
	{"no newline at the end", strings.TrimSuffix(completeList, "\n"), "41 true s-1 SERVING, ", "EOF"},
	{"bad line between good ones", completeList + "garbage\n" + changedList, "41 true s-1 SERVING, ", "does not parse"},
	{"number", "17\n" + changedList, "", "does not parse"},
	{"beginning of a text", "\"index\n" + changedList, "", "does not parse"},
	{"list torn within a word", completeList[:30] + "\n" + changedList, "", "does not parse"},
	{"list torn between entries, then another one", `{"index":41,"endpoints":[` + "\n" + changedList, "", "torn"},
	{"list torn between entries, then a keep-alive", `{"index":41,"endpoints":[` + "\n\n" + changedList, "", "torn"},
	{"indented list torn by the end", indentedList[:60], "", "unexpected EOF"},
	{"indented list with an error", strings.Replace(indentedList, `"index": 44`, `"index": "x"`, 1) + changedList, "", "does not parse"},
	{"bracket too many", "]\n" + changedList, "", "does not parse"},
}

// Lists may come indented. A reader that took each line for a list would read none of them; one that waited for the end of an
// object at any cost would not notice that a list is torn. Each form is read, however the bytes are cut into reads.
func TestListsAreReadInAnyForm(t *testing.T) {
	for _, c := range listTexts {
		t.Run(c.name, func(t *testing.T) {
			for name, r := range map[string]io.Reader{"at once": strings.NewReader(c.text),
				"byte by byte": iotest.OneByteReader(strings.NewReader(c.text))} {
				lists, err := listsOf(r)
				if lists != c.wantLists || err == nil || !strings.Contains(err.Error(), c.wantError) {
					t.Errorf("%s: read %q and failed with %v, want %q and an error with %q", name, lists, err, c.wantLists, c.wantError)
				}
			}
		})
	}
}

// A list without an end would use up the memory, on one line or over many. A watch ends with a list over the limit.
func TestListOverTheLimitEndsTheWatch(t *testing.T) {
	for name, separator := range map[string]string{"one line": "", "many lines": "\n"} {
		t.Run(name, func(t *testing.T) {
			entry := `{"name":"` + strings.Repeat("x", 1<<20) + `"},` + separator
			text := `{"index":1,"endpoints":[` + separator + strings.Repeat(entry, 17)
			if lists, err := listsOf(strings.NewReader(text)); !errors.Is(err, bufio.ErrTooLong) || lists != "" {
				t.Errorf("read %d bytes of lists and failed with %v, want none and %v", len(lists), err, bufio.ErrTooLong)
			}
			if _, err := listsOf(strings.NewReader(text[:len(text)-2*len(entry)] + `{}]}`)); !errors.Is(err, io.EOF) {
				t.Errorf("a list under the limit failed with %v", err)
			}
		})
	}
}

// A list that arrives line by line and never ends would keep the watch alive if each line's end counted as the end of a list.
// The activity is that of a list that is incomplete, until the object ends.
func TestActivityWithinAnIndentedList(t *testing.T) {
	var got []bool
	pieces := []string{"\n", "{\n", ` "index": 3,`, "\n", "}", "\n"}
	r := activityReader{Reader: &pieceReader{pieces}, onActivity: func(midList bool) { got = append(got, midList) }}
	for range pieces {
		r.lastCall = time.Time{} // so that each read is reported
		if _, err := r.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	if want := []bool{false, true, true, true, true, false}; !slices.Equal(got, want) {
		t.Errorf("in the middle of a list after each piece: %v, want %v", got, want)
	}
}

// pieceReader returns one piece a read.
type pieceReader struct{ pieces []string }

// Read returns the next piece.
func (r *pieceReader) Read(p []byte) (int, error) {
	n := copy(p, r.pieces[0])
	r.pieces = r.pieces[1:]
	return n, nil
}

// FuzzListCuts checks that the lists of a text, and the error, do not depend on how the text is cut into reads.
func FuzzListCuts(f *testing.F) {
	for _, c := range listTexts {
		f.Add(c.text, uint8(3), uint8(17))
	}
	f.Fuzz(func(t *testing.T, text string, first, second uint8) {
		wantLists, wantError := listsOf(strings.NewReader(text))
		cut := &cutReader{text: text, sizes: []int{int(first) + 1, int(second) + 1}}
		lists, err := listsOf(cut)
		if lists != wantLists || (err == nil) != (wantError == nil) || err.Error() != wantError.Error() {
			t.Errorf("cut into reads of %v bytes: read %q and failed with %v, want %q and %v", cut.sizes, lists, err, wantLists, wantError)
		}
	})
}

// cutReader returns a text in reads of the given sizes in turn.
type cutReader struct {
	text  string
	sizes []int
	reads int
}

// Read returns the next piece of the text.
func (r *cutReader) Read(p []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	size := min(r.sizes[r.reads%len(r.sizes)], len(r.text), len(p))
	r.reads++
	copy(p, r.text[:size])
	r.text = r.text[size:]
	return size, nil
}
