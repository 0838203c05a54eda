// Package strict decodes TOML files and treats unknown keys as errors. Every error is one line with the path of the file and
// the line number of the mistake. The package does no I/O: callers pass the text.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes a text into the value that target points to. It returns an error if the text has a key that the type of
// the value does not have. The path is only used in errors.
func Decode(path string, text []byte, target any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(target)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("%s:%d: unknown key %s", path, line, strings.Join(first.Key(), "."))
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		return fmt.Errorf("%s:%d: %s", path, line, strings.TrimPrefix(invalid.Error(), "toml: "))
	}
	return fmt.Errorf("%s:1: %w", path, err)
}

// Place is the position of a key or table in a file. The zero value is the file itself.
type Place struct {
	Table string // name of a table or an array of tables; empty for the top level of the file
	Index int    // index of the table in the array, from 0
	Key   string // key in the table; empty for the table itself
}

// Wrap adds the path and the line number of the place to an error.
func (p Place) Wrap(path string, text []byte, err error) error {
	return fmt.Errorf("%s:%d: %w", path, p.line(text), err)
}

// line returns the line number of the place in a text. If the key is missing, it is that of the table's header; if the
// table is missing too, it is 1.
func (p Place) line(text []byte) int {
	found := 1
	index := -1
	inTable := p.Table == ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inTable = tableName(line) == p.Table
			if inTable {
				index++
			}
			if inTable && index == p.Index {
				found = i + 1
			}
			continue
		}
		key, _, isPair := strings.Cut(line, "=")
		if !isPair || !inTable || strings.TrimSpace(key) != p.Key {
			continue
		}
		if p.Table == "" || index == p.Index {
			return i + 1
		}
	}
	return found
}

// tableName returns the name in a line that is the header of a table.
func tableName(line string) string {
	header, _, _ := strings.Cut(line, "#")
	return strings.Trim(strings.TrimSpace(header), "[] ")
}
