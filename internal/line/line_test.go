package line

import (
	"testing"
)

// A word that only begins with a verb, or a line end that is counted as part of the rest, would be misread as another
// message.
func TestSplitReturnsVerbAndRest(t *testing.T) {
	for _, c := range []struct {
		text, rest string
		want       Verb
	}{
		{"UP 12\r\n", "12", Up},
		{"BYE\r\n", "", Bye},
		{"MOVE\n", "", Move},
		{"ERR", "", Err},
		{"BUSY 50\r\n", "50", Busy},
		{"LOAD 1.5\r\n", "1.5", Load},
		{"PONG x0=1\r\n", "x0=1", Pong},
		{"PING\r\n", "", Ping},
		{"NO\r\n", "", No},
		{"SYNTAX\r\n", "", Syntax},
		{"UPPER\r\n", "", Other},
		{"\r\n", "", Other},
		{"M 1 ab\r\n", "1 ab", Other},
	} {
		t.Run(c.text, func(t *testing.T) {
			if verb, rest := Split([]byte(c.text)); verb != c.want || string(rest) != c.rest {
				t.Errorf("got verb %d and rest %q, want %d and %q", verb, rest, c.want, c.rest)
			}
		})
	}
}

// A retry time that is rounded down to 0 ms would make the client retry at once.
func TestBusyLineHasRetryAfterInMilliseconds(t *testing.T) {
	for retryAfter, want := range map[float64]string{0: "BUSY\r\n", -1: "BUSY\r\n", 0.0001: "BUSY 1\r\n", 0.7304: "BUSY 730\r\n"} {
		if got := string(BusyLine(retryAfter)); got != want {
			t.Errorf("for %g s: got %q, want %q", retryAfter, got, want)
		}
	}
}
