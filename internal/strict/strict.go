// Package strict reads TOML files in which nothing may stand that is not known. What is wrong with one is an error of
// one line, with the file and the row at which it stands.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads text into what v points to; path is for messages.
func Decode(path string, text []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	var unknown *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		row, _ := unknown.Errors[0].Position()
		return fmt.Errorf("%s:%d: unknown key %s", path, row, strings.Join(unknown.Errors[0].Key(), "."))
	case errors.As(err, &decode):
		row, _ := decode.Position()
		return fmt.Errorf("%s:%d: %s", path, row, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return fmt.Errorf("%s:1: %w", path, err)
}

// Place names a key in a file: the n-th table of a name, from 0 on, and a key in it; no table for the top.
type Place struct {
	Table string
	Index int
	Key   string
}

// Wrap returns an error the file and the row of what it is about.
func (p Place) Wrap(path string, text []byte, err error) error {
	return fmt.Errorf("%s:%d: %w", path, p.line(text), err)
}

// line finds a place in the text; the table's own row where the key is not written, 1 where neither is.
func (p Place) line(text []byte) int {
	best, nth, in := 1, -1, p.Table == ""
	for i, row := range strings.Split(string(text), "\n") {
		row = strings.TrimSpace(row)
		if strings.HasPrefix(row, "[") {
			name := strings.Trim(strings.TrimSpace(strings.SplitN(row, "#", 2)[0]), "[] ")
			if in = name == p.Table; in {
				if nth++; nth == p.Index {
					best = i + 1
				}
			}
			continue
		}
		key, _, found := strings.Cut(row, "=")
		if found && in && strings.TrimSpace(key) == p.Key && (p.Table == "" || nth == p.Index) {
			return i + 1
		}
	}
	return best
}
