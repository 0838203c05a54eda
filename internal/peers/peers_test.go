package peers

import (
	"bytes"
	"math"
	"slices"
	"testing"
)

// Guards against loads that are rounded down, of which a small one would seem to be none, or that overflow their byte.
func TestLoadIsSentInStepsRoundedUp(t *testing.T) {
	for _, c := range []struct {
		name       string
		load, want float64
	}{
		{"none", 0, 0},
		{"a number of steps", 0.5, 0.5},
		{"between two steps", 0.751, 49.0 / 64},
		{"beyond the range", 40, 255.0 / 64},
		{"negative", -1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			loads := Parse(Append(nil, []HostLoad{{7, 1}, {0xfe01a2b3, c.load}}))
			if !slices.Equal(loads, []HostLoad{{7, 1}, {0xfe01a2b3, c.want}}) {
				t.Errorf("load %v was parsed as %v, want %v", c.load, loads, c.want)
			}
		})
	}
}

// Guards against messages that are longer than a receiver accepts.
func TestMessageHoldsAtMostMaxLoads(t *testing.T) {
	message := Append(nil, make([]HostLoad, 2*MaxLoads))
	if len(message) != MaxMessageBytes || MaxMessageBytes > 256 || len(Parse(message)) != MaxLoads {
		t.Errorf("message of %d bytes with %d loads, want %d bytes and %d loads", len(message), len(Parse(message)),
			MaxMessageBytes, MaxLoads)
	}
}

// Guards against loads that are read from datagrams of another version or with an invalid length.
func TestParseReturnsNilForInvalidMessage(t *testing.T) {
	valid := Append(nil, []HostLoad{{7, 1}})
	for _, c := range []struct {
		name string
		text []byte
	}{
		{"empty", nil},
		{"another version", append([]byte{messageVersion + 1}, valid[1:]...)},
		{"one byte too short", valid[:len(valid)-1]},
		{"one byte too long", append(bytes.Clone(valid), 0)},
		{"too many loads", append([]byte{messageVersion}, make([]byte, (MaxLoads+1)*loadBytes)...)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if loads := Parse(c.text); loads != nil {
				t.Errorf("%x was parsed as %v, want nil", c.text, loads)
			}
		})
	}
}

// Guards against datagrams from the network that make Parse panic, or that it accepts although Append would not have
// encoded them.
func FuzzParse(f *testing.F) {
	f.Add(Append(nil, []HostLoad{{7, 0.9}}))
	f.Add([]byte{})
	f.Add([]byte{2, 0, 0, 0, 7, 52})
	f.Add([]byte("longer than a load, but not a message"))
	f.Fuzz(func(t *testing.T, text []byte) {
		loads := Parse(text)
		if len(loads) > MaxLoads {
			t.Fatalf("%d loads, want at most %d", len(loads), MaxLoads)
		}
		for i := range loads {
			loads[i].Load = max(loads[i].Load-loadStep/2, 0) // Append rounds it up to the same step again
			if loads[i].Load > 4 || math.IsNaN(loads[i].Load) {
				t.Fatalf("load %v, want one from 0 to 4", loads[i].Load)
			}
		}
		if len(loads) > 0 && !bytes.Equal(Append(nil, loads), text) {
			t.Fatalf("%x was parsed as %v, which Append encodes differently", text, loads)
		}
	})
}
