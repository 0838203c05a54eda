package line

import (
	"errors"
	"strings"
	"testing"
)

const usualOpening = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59"

// A line that is no valid opening line, or lacks a usable timeout, must be rejected with the right error: the client gets
// a different reason code for each. Unknown fields must not make a line invalid.
func TestParseOpening(t *testing.T) {
	const key, group = 0x7f3a9c21e0b4d655, 0x5c0f6e1a2b3d4c59
	cases := []struct {
		name, text string
		want       Opening
		fails      error
	}{
		{"usual fields", usualOpening + "\r\n", Opening{ID: "9b1f03aa5c7e2d41", ClientKey: key, GroupKey: group, Type: "chat",
			Tenant: "acme", Timeout: 2}, nil},
		{"returning, mid-flow, restored, with a load", "OPEN a 7f3a9c21e0b4d655 d=50.5,again=1,mid=1,at=s-1,h=20000,r=1,c=x\n",
			Opening{ID: "a", ClientKey: key, Type: "x", Timeout: 0.0505, Returning: true, MidFlow: true, RestoredHost: "s-1", Load: 0.02}, nil},
		{"no key", "OPEN a - c=x,d=1", Opening{ID: "a", Type: "x", Timeout: 0.001}, nil},
		{"unknown fields", "OPEN a 0 zz=9,c=x,d=1,=,", Opening{ID: "a", Type: "x", Timeout: 0.001}, nil},
		{"no timeout", "OPEN a 0 c=x", Opening{}, ErrNoTimeout},
		{"timeout of 0", "OPEN a 0 c=x,d=0", Opening{}, ErrNoTimeout},
		{"negative timeout", "OPEN a 0 c=x,d=-5", Opening{}, ErrNoTimeout},
		{"timeout that is not a number", "OPEN a 0 c=x,d=NaN", Opening{}, ErrNoTimeout},
		{"infinite timeout", "OPEN a 0 c=x,d=Inf", Opening{}, ErrNoTimeout},
		{"empty", "", Opening{}, ErrNotOpening},
		{"another verb", "SHUT a 0 c=x,d=1", Opening{}, ErrNotOpening},
		{"too few parts", "OPEN a c=x,d=1", Opening{}, ErrNotOpening},
		{"too many parts", "OPEN a 0 c=x,d=1 more", Opening{}, ErrNotOpening},
		{"binary", "OPEN a 0 c=\x00x,d=1", Opening{}, ErrNotOpening},
		{"two spaces", "OPEN  0 c=x,d=1", Opening{}, ErrNotOpening},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseOpening([]byte(c.text))
			if !errors.Is(err, c.fails) {
				t.Errorf("error %v, want %v", err, c.fails)
			}
			if got = withoutTimeoutRange(got); err == nil && got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// withoutTimeoutRange returns an opening without the byte range of its timeout, so that openings of different lines can
// be compared.
func withoutTimeoutRange(o Opening) Opening {
	o.timeoutStart = 0
	o.timeoutEnd = 0
	return o
}

// Replacing the timeout could change another part of the line that resembles the field, such as an id of "d=1". The host
// would then get another id or type than the client sent.
func TestOnlyTheTimeoutOfAnOpeningIsReplaced(t *testing.T) {
	for _, c := range []struct {
		text    string
		timeout float64
		want    string
	}{
		{usualOpening + "\r\n", 0.9312, strings.Replace(usualOpening, "d=2000", "d=931", 1) + "\r\n"},
		{"OPEN d=1 0 c=d=7,d=20\n", 0, "OPEN d=1 0 c=d=7,d=1\n"},
		{"OPEN a 0 d=20", 123.4567, "OPEN a 0 d=123456"},
	} {
		t.Run(c.text, func(t *testing.T) {
			opening, err := ParseOpening([]byte(c.text))
			got := string(opening.WithTimeout([]byte(c.text), c.timeout))
			if err != nil || got != c.want {
				t.Errorf("got %q and error %v, want %q", got, err, c.want)
			}
		})
	}
}

// No text may make the parser panic, and a new timeout must leave all other fields of an opening line unchanged.
func FuzzLine(f *testing.F) {
	for _, seed := range []string{usualOpening, "OPEN a 0 d=1", "UP 1", "LOAD 1", "PONG x0=1", "\x00\xff", "OPEN a 0 d=1,d=2"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		verb, rest := Split(text)
		ParseLoad(rest)
		ParseReport(rest, "x0")
		opening, err := ParseOpening(text)
		if err != nil {
			return
		}
		if verb != Open || !(opening.Timeout > 0) {
			t.Fatalf("%q was accepted as an opening line", text)
		}
		again, err := ParseOpening(opening.WithTimeout(text, 1))
		want := withoutTimeoutRange(opening)
		want.Timeout = 1
		if err != nil || withoutTimeoutRange(again) != want {
			t.Fatalf("%q: another timeout changed other fields: before %+v, after %+v, error %v", text, opening, again, err)
		}
	})
}
