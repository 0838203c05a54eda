package peers

import (
	"bytes"
	"encoding/hex"
	"os"
	"slices"
	"strings"
	"testing"
)

// testdata/datagrams.txt was written by revision 5fa7498: nodes of that version and of this one talk to each other. It is
// fixed for good: there is no flag that rewrites it. Each line has a name and a datagram in hexadecimal.

// goldenDatagrams reads the datagrams by name.
func goldenDatagrams(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile("testdata/datagrams.txt")
	if err != nil {
		t.Fatal(err)
	}
	datagrams := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if datagrams[name], err = hex.DecodeString(digits); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	return datagrams
}

// manyLoads gives loads that all differ.
func manyLoads(count int) []HostLoad {
	loads := make([]HostLoad, count)
	for i := range loads {
		loads[i] = HostLoad{Host: 0xfe01a200 + uint32(i), Load: float64(i+1) / 64}
	}
	return loads
}

func TestDatagramsKeepTheirWireForm(t *testing.T) {
	datagrams := goldenDatagrams(t)
	cases := []struct {
		name string
		sent []HostLoad
		read []HostLoad // where it is not what was sent
	}{
		{name: "empty"},
		{name: "one", sent: []HostLoad{{0x5be2a07c, 0.75}}},
		{name: "two", sent: []HostLoad{{1, 0.015625}, {4294967295, 3.984375}}},
		{name: "rounded-up", sent: []HostLoad{{7, 0.751}}, read: []HostLoad{{7, 0.765625}}},
		{name: "over-the-range", sent: []HostLoad{{7, 40}}, read: []HostLoad{{7, 3.984375}}},
		{name: "below-zero", sent: []HostLoad{{7, -1}}, read: []HostLoad{{7, 0}}},
		{name: "most", sent: manyLoads(51)},
		{name: "most", sent: manyLoads(53), read: manyLoads(51)}, // the rest goes into the next datagram
	}
	seen := map[string]bool{}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			datagram, found := datagrams[c.name]
			if !found {
				t.Fatal("no such datagram")
			}
			seen[c.name] = true
			if got := Append(nil, c.sent); !bytes.Equal(got, datagram) {
				t.Errorf("Append wrote %x, want %x", got, datagram)
			}
			want := c.read
			if want == nil {
				want = c.sent
			}
			got := Parse(datagram)
			if !slices.Equal(got, want) {
				t.Errorf("Parse gave %v, want %v", got, want)
			}
			if again := Append(nil, got); !bytes.Equal(again, datagram) {
				t.Errorf("read and written again: %x, want %x", again, datagram)
			}
		})
	}
	if len(seen) != len(datagrams) {
		t.Errorf("%d of %d datagrams are tested", len(seen), len(datagrams))
	}
}

func TestDatagramLimits(t *testing.T) {
	if MaxLoads != 51 || MaxMessageBytes != 256 {
		t.Errorf("%d loads and %d bytes in a datagram, want 51 and 256", MaxLoads, MaxMessageBytes)
	}
	most := goldenDatagrams(t)["most"]
	if len(most) != 256 {
		t.Fatalf("the longest golden datagram has %d bytes, want 256", len(most))
	}
	if loads := Parse(append(bytes.Clone(most), 0, 0, 0, 1, 2)); loads != nil {
		t.Errorf("a longer one was read as %v", loads)
	}
	most[0]++
	if loads := Parse(most); loads != nil {
		t.Errorf("one of another version was read as %v", loads)
	}
}
