package peers

import (
	"bytes"
	"math"
	"slices"
	"testing"
)

func TestMessage(t *testing.T) {
	for _, c := range []struct{ load, want float64 }{{0, 0}, {0.5, 0.5}, {0.751, 49.0 / 64}, {40, 255.0 / 64}, {-1, 0}} {
		words := Parse(Append(nil, []HostLoad{{7, 1}, {0xfe01a2b3, c.load}}))
		if !slices.Equal(words, []HostLoad{{7, 1}, {0xfe01a2b3, c.want}}) {
			t.Errorf("%v: %v", c.load, words)
		}
	}
	if text := Append(nil, make([]HostLoad, 2*MaxLoads)); len(text) != MaxMessageBytes || MaxMessageBytes > 256 || len(Parse(text)) != MaxLoads {
		t.Errorf("%d bytes for more words than a message takes", len(text))
	}
}

// A node takes whatever comes from the network: only its own version, whole, is a message.
func FuzzRead(f *testing.F) {
	f.Add(Append(nil, []HostLoad{{7, 0.9}}))
	f.Add([]byte{})
	f.Add([]byte{2, 0, 0, 0, 7, 52})
	f.Add([]byte("longer than a word, and no message"))
	f.Fuzz(func(t *testing.T, text []byte) {
		words := Parse(text)
		if len(words) > MaxLoads {
			t.Fatalf("%d words", len(words))
		}
		for i := range words {
			if words[i].Load = max(words[i].Load-loadStep/2, 0); words[i].Load > 4 || math.IsNaN(words[i].Load) {
				t.Fatalf("load %v", words[i].Load)
			}
		}
		if len(words) > 0 && !bytes.Equal(Append(nil, words), text) {
			t.Fatalf("%x read as %v", text, words)
		}
	})
}
