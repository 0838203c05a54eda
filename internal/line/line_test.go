package line

import (
	"errors"
	"strings"
	"testing"
)

const usualOpening = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59"

func TestParseOpening(t *testing.T) {
	const key, group = 0x7f3a9c21e0b4d655, 0x5c0f6e1a2b3d4c59
	cases := []struct {
		name, text string
		want       Opening
		fails      error
	}{
		{"all that is usual", usualOpening + "\r\n", Opening{ID: "9b1f03aa5c7e2d41", ClientKey: key, GroupKey: group, Type: "chat", Tenant: "acme",
			Timeout: 2}, nil},
		{"back, mid-flow, carried, a load", "OPEN a 7f3a9c21e0b4d655 d=50.5,again=1,mid=1,at=s-1,h=20000,r=1,c=x\n",
			Opening{ID: "a", ClientKey: key, Type: "x", Timeout: 0.0505, Returning: true, MidFlow: true, RestoredHost: "s-1", Load: 0.02}, nil},
		{"no key", "OPEN a - c=x,d=1", Opening{ID: "a", Type: "x", Timeout: 0.001}, nil},
		{"names that are not known", "OPEN a 0 zz=9,c=x,d=1,=,", Opening{ID: "a", Type: "x", Timeout: 0.001}, nil},
		{"no timeout", "OPEN a 0 c=x", Opening{}, ErrNoTimeout},
		{"timeout of nothing", "OPEN a 0 c=x,d=0", Opening{}, ErrNoTimeout},
		{"timeout below nothing", "OPEN a 0 c=x,d=-5", Opening{}, ErrNoTimeout},
		{"timeout that is no number", "OPEN a 0 c=x,d=NaN", Opening{}, ErrNoTimeout},
		{"endless timeout", "OPEN a 0 c=x,d=Inf", Opening{}, ErrNoTimeout},
		{"nothing", "", Opening{}, ErrNotOpening},
		{"another word", "SHUT a 0 c=x,d=1", Opening{}, ErrNotOpening},
		{"too few words", "OPEN a c=x,d=1", Opening{}, ErrNotOpening},
		{"too many words", "OPEN a 0 c=x,d=1 more", Opening{}, ErrNotOpening},
		{"binary", "OPEN a 0 c=\x00x,d=1", Opening{}, ErrNotOpening},
		{"two blanks", "OPEN  0 c=x,d=1", Opening{}, ErrNotOpening},
	}
	for _, c := range cases {
		got, err := ParseOpening([]byte(c.text))
		if !errors.Is(err, c.fails) {
			t.Errorf("%s: error %v, wanted %v", c.name, err, c.fails)
		}
		if got.timeoutStart, got.timeoutEnd = 0, 0; err == nil && got != c.want {
			t.Errorf("%s: got %+v, wanted %+v", c.name, got, c.want)
		}
	}
}

// A first line goes on unchanged but for its connect timeout.
func TestOnlyTheTimeoutOfAnOpeningIsReplaced(t *testing.T) {
	for _, c := range []struct {
		text   string
		within float64
		want   string
	}{
		{usualOpening + "\r\n", 0.9312, strings.Replace(usualOpening, "d=2000", "d=931", 1) + "\r\n"},
		{"OPEN d=1 0 c=d=7,d=20\n", 0, "OPEN d=1 0 c=d=7,d=1\n"},
		{"OPEN a 0 d=20", 123.4567, "OPEN a 0 d=123456"},
	} {
		o, err := ParseOpening([]byte(c.text))
		if got := string(o.WithTimeout([]byte(c.text), c.within)); err != nil || got != c.want {
			t.Errorf("%q: got %q and %v, wanted %q", c.text, got, err, c.want)
		}
	}
}

func TestSplitGivesVerbAndRest(t *testing.T) {
	for _, c := range []struct {
		text, rest string
		want       Verb
	}{
		{"UP 12\r\n", "12", Up}, {"BYE\r\n", "", Bye}, {"MOVE\n", "", Move}, {"ERR", "", Err}, {"BUSY 50\r\n",
			"50", Busy},
		{"LOAD 1.5\r\n", "1.5", Load}, {"PONG x0=1\r\n", "x0=1", Pong}, {"PING\r\n", "", Ping}, {"NO\r\n", "", No},
		{"SYNTAX\r\n", "", Syntax}, {"UPPER\r\n", "", Other}, {"\r\n", "", Other}, {"M 1 ab\r\n", "1 ab", Other},
	} {
		if word, rest := Split([]byte(c.text)); word != c.want || string(rest) != c.rest {
			t.Errorf("%q: word %d and %q, wanted %d and %q", c.text, word, rest, c.want, c.rest)
		}
	}
}

func TestFigures(t *testing.T) {
	for _, c := range []struct {
		away float64
		want string
	}{{0, "BUSY\r\n"}, {-1, "BUSY\r\n"}, {0.0001, "BUSY 1\r\n"}, {0.7304, "BUSY 730\r\n"}} {
		if got := string(BusyLine(c.away)); got != c.want {
			t.Errorf("busy for %g: %q", c.away, got)
		}
	}
	for _, c := range []struct {
		text string
		want float64
		ok   bool
	}{{"22788.994", 0.022788994, true}, {" 5 ", 5e-6, true}, {"-1", 0, false}, {"NaN", 0, false}, {"Inf", 0,
		false}, {"", 0, false}} {
		if got, ok := ParseLoad([]byte(c.text)); ok != c.ok || ok && got != c.want {
			t.Errorf("load %q: %g, %v", c.text, got, ok)
		}
	}
	for _, c := range []struct {
		text string
		want float64
		ok   bool
	}{{"inflight=3,x0=0.75", 0.75, true}, {"x0=1.5 x1=2", 1.5, true}, {"x00=1", 0, false}, {"x0=NaN", 0,
		false}, {"x0", 0, false}} {
		if got, ok := ParseReport([]byte(c.text), "x0"); ok != c.ok || ok && got != c.want {
			t.Errorf("report %q: %g, %v", c.text, got, ok)
		}
	}
	for text, want := range map[string]uint64{"": 0, "-": 0, "0": 0, "ff": 255,
		"7f3a9c21e0b4d655": 0x7f3a9c21e0b4d655} {
		if got := ParseKey([]byte(text)); got != want {
			t.Errorf("number %q: %x", text, got)
		}
	}
	if a, b := ParseKey([]byte("listener-7")), ParseKey([]byte("listener-8")); a == b || a == 0 || b == 0 {
		t.Error("keys that are no numbers are told apart by nothing")
	}
}

func FuzzLine(f *testing.F) {
	for _, seed := range []string{usualOpening, "OPEN a 0 d=1", "UP 1", "LOAD 1", "PONG x0=1", "\x00\xff",
		"OPEN a 0 d=1,d=2"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		word, rest := Split(text)
		ParseLoad(rest)
		ParseReport(rest, "x0")
		o, err := ParseOpening(text)
		if err != nil {
			return
		}
		if word != Open || !(o.Timeout > 0) {
			t.Fatalf("%q taken for an opening line", text)
		}
		again, err := ParseOpening(o.WithTimeout(text, 1))
		if again.timeoutStart, again.timeoutEnd, o.timeoutStart, o.timeoutEnd, o.Timeout = 0, 0, 0, 0, 1; err != nil || again != o {
			t.Fatalf("%q: another timeout changed more: %+v, %+v, %v", text, o, again, err)
		}
	})
}
