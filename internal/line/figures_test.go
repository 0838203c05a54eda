package line

import (
	"testing"
)

// numberCase is a text with the number that it should yield; ok is false if it should yield none.
type numberCase struct {
	text string
	want float64
	ok   bool
}

// A load that is negative or not finite must not be accepted.
func TestParseLoad(t *testing.T) {
	for _, c := range []numberCase{{"22788.994", 0.022788994, true}, {" 5 ", 5e-6, true}, {"-1", 0, false}, {"NaN", 0, false},
		{"Inf", 0, false}, {"", 0, false}} {
		if got, ok := ParseLoad([]byte(c.text)); ok != c.ok || ok && got != c.want {
			t.Errorf("load %q: got %g, %v; want %g, %v", c.text, got, ok, c.want, c.ok)
		}
	}
}

// A value could be read from a field whose name only begins with the wanted one, or be NaN.
func TestParseReport(t *testing.T) {
	for _, c := range []numberCase{{"inflight=3,x0=0.75", 0.75, true}, {"x0=1.5 x1=2", 1.5, true}, {"x00=1", 0, false},
		{"x0=NaN", 0, false}, {"x0", 0, false}} {
		if got, ok := ParseReport([]byte(c.text), "x0"); ok != c.ok || ok && got != c.want {
			t.Errorf("report %q: got %g, %v; want %g, %v", c.text, got, ok, c.want, c.ok)
		}
	}
}

// Two clients whose keys are not hexadecimal must not get the same key, nor 0, which means that there is no key.
func TestParseKey(t *testing.T) {
	for text, want := range map[string]uint64{"": 0, "-": 0, "0": 0, "ff": 255, "7f3a9c21e0b4d655": 0x7f3a9c21e0b4d655} {
		if got := ParseKey([]byte(text)); got != want {
			t.Errorf("key %q: got %x, want %x", text, got, want)
		}
	}
	first, second := ParseKey([]byte("listener-7")), ParseKey([]byte("listener-8"))
	if first == second || first == 0 || second == 0 {
		t.Errorf("keys that are not hexadecimal: got %x and %x, want two different keys above 0", first, second)
	}
}
