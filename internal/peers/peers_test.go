package peers

import (
	"bytes"
	"math"
	"slices"
	"testing"
)

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
				t.Errorf("%v: %v", c.load, loads)
			}
		})
	}
}

func TestMessageHoldsAtMostMaxLoads(t *testing.T) {
	message := Append(nil, make([]HostLoad, 2*MaxLoads))
	if len(message) != MaxMessageBytes || MaxMessageBytes > 256 || len(Parse(message)) != MaxLoads {
		t.Errorf("%d bytes for more loads than a message holds", len(message))
	}
}

func TestWhatIsNotAMessageHasNoLoads(t *testing.T) {
	valid := Append(nil, []HostLoad{{7, 1}})
	for _, c := range []struct {
		name string
		text []byte
	}{
		{"nothing", nil},
		{"another version", append([]byte{messageVersion + 1}, valid[1:]...)},
		{"a byte short", valid[:len(valid)-1]},
		{"a byte long", append(bytes.Clone(valid), 0)},
		{"too many loads", append([]byte{messageVersion}, make([]byte, (MaxLoads+1)*loadBytes)...)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if loads := Parse(c.text); loads != nil {
				t.Errorf("%x is parsed as %v", c.text, loads)
			}
		})
	}
}

// A node receives whatever the network brings: only a complete message of its own version is parsed.
func FuzzParse(f *testing.F) {
	f.Add(Append(nil, []HostLoad{{7, 0.9}}))
	f.Add([]byte{})
	f.Add([]byte{2, 0, 0, 0, 7, 52})
	f.Add([]byte("longer than a load, and no message"))
	f.Fuzz(func(t *testing.T, text []byte) {
		loads := Parse(text)
		if len(loads) > MaxLoads {
			t.Fatalf("%d loads", len(loads))
		}
		for i := range loads {
			loads[i].Load = max(loads[i].Load-loadStep/2, 0) // rounded up again when it is sent
			if loads[i].Load > 4 || math.IsNaN(loads[i].Load) {
				t.Fatalf("load %v", loads[i].Load)
			}
		}
		if len(loads) > 0 && !bytes.Equal(Append(nil, loads), text) {
			t.Fatalf("%x is parsed as %v", text, loads)
		}
	})
}
