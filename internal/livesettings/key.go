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

// wildcard is the part of a pattern that matches any name.
const wildcard = "*"

// jsonNull is rejected for every key, although json.Unmarshal accepts it for any type.
const jsonNull = "null"

// key describes a key of the document. The value of a key without a unit is an address; that of any other key is a number.
type key struct {
	pattern string  // dotted key, with the wildcard in place of the name of a tenant, service type or host
	unit    string  // unit of the values
	min     float64 // smallest valid value
	max     float64 // largest valid value
	integer bool    // only whole numbers are valid

	// setNumber or setText, of which only one is set, stores a valid value in the settings, under the name in the key.
	setNumber func(s *Settings, name string, value float64)
	setText   func(s *Settings, value string)
}

// match reports whether a dotted key matches the pattern, and returns the name in place of the wildcard, which may contain
// dots. The name is empty if the pattern has no wildcard.
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

// set checks a name and a value in compact JSON, and stores the value in the settings.
func (k key) set(s *Settings, name, value string) error {
	if err := checkName(name); err != nil {
		return err
	}
	if !isCompactJSON(value) {
		return errors.New("the value is not compact JSON")
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

// checkName returns an error unless a name is valid for a tenant, service type or host. It accepts the empty name, which
// the keys without a wildcard have.
func checkName(name string) error {
	switch {
	case len(name) > MaxNameBytes:
		return fmt.Errorf("the name must be between 1 and %d bytes, got %d", MaxNameBytes, len(name))
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return errors.New("the name must be valid UTF-8 without control characters")
	}
	return nil
}

// isCompactJSON reports whether a text is valid JSON without insignificant white space.
func isCompactJSON(text string) bool {
	var compact bytes.Buffer
	if err := json.Compact(&compact, []byte(text)); err != nil {
		return false
	}
	return compact.String() == text
}

// parseNumber parses a number and checks it against the key's type and range.
func (k key) parseNumber(value string) (float64, error) {
	var number float64
	err := json.Unmarshal([]byte(value), &number)
	if err != nil || value == jsonNull {
		return 0, fmt.Errorf("must be %s", k.kind())
	}
	if k.integer && !isInteger(value, number) {
		return 0, fmt.Errorf("must be %s", k.kind())
	}
	if number < k.min || number > k.max {
		return 0, fmt.Errorf("must be between %s and %s %s, got %s", formatNumber(k.min), formatNumber(k.max), k.unit, value)
	}
	return number, nil
}

// isInteger reports whether a number is whole and its text has neither a fraction nor an exponent.
func isInteger(text string, number float64) bool {
	return number == math.Trunc(number) && !strings.ContainsAny(text, ".eE")
}

// kind describes the type of the key's values for errors.
func (k key) kind() string {
	if k.integer {
		return "a whole number"
	}
	return "a number"
}

// formatNumber formats a number without an exponent.
func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// parseAddress parses a JSON string that has the form HOST:PORT.
func parseAddress(value string) (string, error) {
	var address string
	err := json.Unmarshal([]byte(value), &address)
	if err != nil || value == jsonNull {
		return "", errors.New("must be an address in quotes")
	}
	if !isAddress(address) {
		return "", fmt.Errorf("must be HOST:PORT with a port between 1 and %d", MaxPort)
	}
	return address, nil
}

// isAddress reports whether a text has the form HOST:PORT, a valid port and at most MaxAddressBytes.
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
