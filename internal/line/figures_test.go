package line

import (
	"testing"
)

// figureCase is a text with the figure that it has, if it has one.
type figureCase struct {
	text string
	want float64
	ok   bool
}

func TestParseLoad(t *testing.T) {
	for _, c := range []figureCase{{"22788.994", 0.022788994, true}, {" 5 ", 5e-6, true}, {"-1", 0, false}, {"NaN", 0, false},
		{"Inf", 0, false}, {"", 0, false}} {
		if got, ok := ParseLoad([]byte(c.text)); ok != c.ok || ok && got != c.want {
			t.Errorf("load %q: %g, %v", c.text, got, ok)
		}
	}
}

func TestParseReport(t *testing.T) {
	for _, c := range []figureCase{{"inflight=3,x0=0.75", 0.75, true}, {"x0=1.5 x1=2", 1.5, true}, {"x00=1", 0, false},
		{"x0=NaN", 0, false}, {"x0", 0, false}} {
		if got, ok := ParseReport([]byte(c.text), "x0"); ok != c.ok || ok && got != c.want {
			t.Errorf("report %q: %g, %v", c.text, got, ok)
		}
	}
}

func TestParseKey(t *testing.T) {
	for text, want := range map[string]uint64{"": 0, "-": 0, "0": 0, "ff": 255, "7f3a9c21e0b4d655": 0x7f3a9c21e0b4d655} {
		if got := ParseKey([]byte(text)); got != want {
			t.Errorf("key %q: %x", text, got)
		}
	}
	first, second := ParseKey([]byte("listener-7")), ParseKey([]byte("listener-8"))
	if first == second || first == 0 || second == 0 {
		t.Error("keys that are no numbers do not differ")
	}
}
