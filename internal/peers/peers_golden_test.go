package peers

import (
	"bytes"
	"encoding/hex"
	"os"
	"slices"
	"strings"
	"testing"
)

// The file testdata/datagrams.txt was written by version 5fa7498 and must never be regenerated: nodes of that version
// exchange load gossip with newer ones. Each line has a name and a datagram in hexadecimal.

// goldenDatagrams returns the datagrams of the golden file by name.
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

// manyLoads returns the given number of loads, which all differ.
func manyLoads(count int) []HostLoad {
	loads := make([]HostLoad, count)
	for i := range loads {
		loads[i] = HostLoad{Host: 0xfe01a200 + uint32(i), Load: float64(i+1) / 64}
	}
	return loads
}

// Guards against changes to the encoding of load gossip.
func TestDatagramsKeepTheirWireForm(t *testing.T) {
	datagrams := goldenDatagrams(t)
	cases := []struct {
		name string
		sent []HostLoad
		read []HostLoad // loads that Parse returns; nil if they are the same as those sent
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
				t.Fatal("the golden file has no datagram of this name")
			}
			seen[c.name] = true
			if got := Append(nil, c.sent); !bytes.Equal(got, datagram) {
				t.Errorf("Append returned %x, want %x", got, datagram)
			}
			want := c.read
			if want == nil {
				want = c.sent
			}
			got := Parse(datagram)
			if !slices.Equal(got, want) {
				t.Errorf("Parse returned %v, want %v", got, want)
			}
			if again := Append(nil, got); !bytes.Equal(again, datagram) {
				t.Errorf("Append returned %x for the parsed loads, want %x", again, datagram)
			}
		})
	}
	if len(seen) != len(datagrams) {
		t.Errorf("%d of %d datagrams of the golden file are tested", len(seen), len(datagrams))
	}
}

// Guards against changes to the limits of a datagram: nodes of other versions reject longer ones.
func TestDatagramLimits(t *testing.T) {
	if MaxLoads != 51 || MaxMessageBytes != 256 {
		t.Errorf("%d loads and %d bytes in a datagram, want 51 and 256", MaxLoads, MaxMessageBytes)
	}
	most := goldenDatagrams(t)["most"]
	if len(most) != 256 {
		t.Fatalf("the longest golden datagram has %d bytes, want 256", len(most))
	}
	if loads := Parse(append(bytes.Clone(most), 0, 0, 0, 1, 2)); loads != nil {
		t.Errorf("a datagram that is too long was parsed as %v, want nil", loads)
	}
	most[0]++
	if loads := Parse(most); loads != nil {
		t.Errorf("a datagram of another version was parsed as %v, want nil", loads)
	}
}
