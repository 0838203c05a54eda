package livesettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// wildcard stands for a name in a pattern.
const wildcard = "*"

// jsonNull is the JSON value that json.Unmarshal accepts for any type; no key takes it.
const jsonNull = "null"

// key is one key of the document. A key without a unit takes an address, the others a number.
type key struct {
	pattern string  // dotted; the wildcard stands for the name of a tenant, service type or host
	unit    string  // of its values
	min     float64 // smallest value
	max     float64 // largest value
	integer bool    // only whole numbers are accepted

	// Either setNumber or setText is set. It stores a valid value in the settings, under the name in the key.
	setNumber func(s *Settings, name string, value float64)
	setText   func(s *Settings, value string)
}

// match reports whether a key has the pattern, and which name stands for the wildcard; empty without one. A name may
// have dots.
func (k key) match(text string) (name string, matches bool) {
	before, after, named := strings.Cut(k.pattern, wildcard)
	if !named {
		return "", text == k.pattern
	}
	if len(text) <= len(before)+len(after) {
		return "", false
	}
	if !strings.HasPrefix(text, before) || !strings.HasSuffix(text, after) {
		return "", false
	}
	return text[len(before) : len(text)-len(after)], true
}

// set checks a value, given as compact JSON, and stores it in the settings.
func (k key) set(s *Settings, name, value string) error {
	if err := checkName(name); err != nil {
		return err
	}
	if !isCompactJSON(value) {
		return errors.New("the value is no compact JSON")
	}
	if k.setText != nil {
		address, err := parseAddress(value)
		if err != nil {
			return err
		}
		k.setText(s, address)
		return nil
	}
	number, err := k.parseNumber(value)
	if err != nil {
		return err
	}
	k.setNumber(s, name, number)
	return nil
}

// checkName returns an error unless a name can be that of a tenant, service type or host. A key without a wildcard has
// the empty name.
func checkName(name string) error {
	switch {
	case len(name) > MaxNameBytes:
		return fmt.Errorf("a name of %d bytes, and at most %d are allowed", len(name), MaxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return errors.New("a name with control characters")
	}
	return nil
}

// isCompactJSON reports whether a text is JSON without insignificant space.
func isCompactJSON(text string) bool {
	var compact bytes.Buffer
	if err := json.Compact(&compact, []byte(text)); err != nil {
		return false
	}
	return compact.String() == text
}

// parseNumber returns a number of the key's kind and range.
func (k key) parseNumber(value string) (float64, error) {
	var number float64
	err := json.Unmarshal([]byte(value), &number)
	if err != nil || value == jsonNull {
		return 0, fmt.Errorf("wanted %s", k.kind())
	}
	if k.integer && !isInteger(value, number) {
		return 0, fmt.Errorf("wanted %s", k.kind())
	}
	if number < k.min || number > k.max {
		return 0, fmt.Errorf("%s is not between %s and %s %s", value, formatNumber(k.min), formatNumber(k.max), k.unit)
	}
	return number, nil
}

// isInteger reports whether a number is whole and written without a fraction or an exponent.
func isInteger(text string, number float64) bool {
	return number == math.Trunc(number) && !strings.ContainsAny(text, ".eE")
}

// kind describes the values of the key.
func (k key) kind() string {
	if k.integer {
		return "a whole number"
	}
	return "a number"
}

// formatNumber returns a number without an exponent.
func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// parseAddress returns the host and port of a JSON string.
func parseAddress(value string) (string, error) {
	var address string
	err := json.Unmarshal([]byte(value), &address)
	if err != nil || value == jsonNull {
		return "", errors.New("wanted an address in quotes")
	}
	if !isAddress(address) {
		return "", fmt.Errorf("wanted HOST:PORT with a port from 1 to %d", MaxPort)
	}
	return address, nil
}

// isAddress reports whether a text is a host and a port.
func isAddress(text string) bool {
	if len(text) > MaxAddressBytes {
		return false
	}
	if strings.ContainsFunc(text, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }) {
		return false
	}
	host, portText, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	port, err := strconv.Atoi(portText)
	return err == nil && port >= 1 && port <= MaxPort
}
