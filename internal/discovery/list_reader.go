package discovery

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"gorseledge/internal/discovery/endpoint"
)

const (
	maxListBytes     = 16 << 20 // maximum size of one list; a larger one ends the watch
	initialLineBytes = 4096     // initial size of the buffer for a line
)

var (
	// errTornList is the error of a list that is followed by another one, or by a keep-alive, before its end.
	errTornList = errors.New("endpoint list is torn")

	errLineEndInString = errors.New("endpoint list does not parse: a line ends within a string")
)

// listReader reads the lists of one watch. A list is a JSON object on a line of its own, or indented over several lines.
// Empty lines between lists are keep-alives.
type listReader struct {
	received func(endpoint.List)
	pending  []byte      // the lines so far of a list that is indented; empty between lists
	depth    objectDepth // at the end of pending
}

// readLists reads lists until the end of the stream or an error. At the end of the stream it returns io.EOF.
func readLists(r io.Reader, received func(endpoint.List)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxListBytes)
	reader := listReader{received: received}
	for lines.Scan() {
		if err := reader.addLine(lines.Bytes()); err != nil { // if the stream failed in the middle of a line, the stream's error is the cause
			return cmp.Or(lines.Err(), err)
		}
	}
	if len(reader.pending) > 0 {
		return cmp.Or(lines.Err(), io.ErrUnexpectedEOF)
	}
	return cmp.Or(lines.Err(), io.EOF)
}

// addLine takes over one line, and passes on the lists that end with it.
func (l *listReader) addLine(line []byte) error {
	text := bytes.TrimSpace(line)
	switch {
	case len(l.pending) == 0 && len(text) == 0:
		return nil
	case len(l.pending) == 0:
		return l.readObjects(text)
	case len(text) == 0, isList(text):
		return errTornList
	case len(l.pending)+len(text) > maxListBytes:
		return bufio.ErrTooLong
	}
	if err := l.keep(text); err != nil || !l.depth.between() {
		return err
	}
	text = l.pending
	l.pending = nil
	return l.readObjects(text)
}

// keep keeps a line of a list whose end is still to come. A line cannot end within a string.
func (l *listReader) keep(text []byte) error {
	if len(l.pending) == 0 {
		l.depth = objectDepth{}
	}
	l.pending = append(l.pending, text...)
	l.pending = append(l.pending, '\n')
	l.depth.advance(text)
	if l.depth.inString {
		return errLineEndInString
	}
	return nil
}

// readObjects passes on the lists in a text and keeps the beginning of a list at its end.
func (l *listReader) readObjects(text []byte) error {
	if list, err := endpoint.Parse(text); err == nil { // nearly always, as a text is usually one list
		l.received(list)
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	for {
		rest := bytes.TrimSpace(text[decoder.InputOffset():])
		var object json.RawMessage
		err := decoder.Decode(&object)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, io.ErrUnexpectedEOF) && rest[0] == '{':
			return l.keep(rest)
		}
		var list endpoint.List
		if err == nil {
			list, err = endpoint.Parse(object)
		}
		if err != nil {
			return fmt.Errorf("endpoint list does not parse: %w", err)
		}
		l.received(list)
	}
}

// isList reports whether a line is a whole list by itself. Entries of a list have no index.
func isList(text []byte) bool {
	if text[0] != '{' || text[len(text)-1] != '}' {
		return false
	}
	var list struct {
		Index *int64 `json:"index"`
	}
	return json.Unmarshal(text, &list) == nil && list.Index != nil
}
