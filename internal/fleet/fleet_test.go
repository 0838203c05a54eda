package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gorseledge/internal/membership/wire"
)

const goodFile = `fleet = "lima"
address = "127.0.0.1:7000"
join = ["127.0.0.2:7000", "127.0.0.1:7000"]
key = "00112233445566778899aabbccddeeff"
zone = "a"
period_s = 0.5

[via]
"127.0.0.2:7000" = "127.0.0.9:1234"
`

// A mistake in a fleet file is told by file, line and key; a node that has made one starts nothing.
func TestRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	read := func(text string) (Config, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return Read(path)
	}
	if c, err := read(goodFile); err != nil || c.Period != 0.5 || len(c.keys) != 1 || c.Via["127.0.0.2:7000"] == "" {
		t.Fatalf("%+v, %v", c, err)
	}
	for _, c := range []struct{ from, to, line, says string }{
		{`fleet = "lima"`, ``, "1", "fleet"},
		{`"127.0.0.1:7000"` + "\njoin", `"127.0.0.1"` + "\njoin", "2", "address"},
		{`"127.0.0.2:7000", "127.0.0.1:7000"`, `"127.0.0.1:7000", "127.0.0.1:7000"`, "3", "twice"},
		{`"127.0.0.2:7000", "127.0.0.1:7000"`, `"127.0.0.1:7000"`, "3", "nobody else"},
		{`"127.0.0.2:7000", "`, `"n2:7000", "`, "3", "join"},
		{"00112233", "0011", "4", "key"},
		{"00112233", "zz112233", "4", "key"},
		{"period_s = 0.5", "period_s = -1.0", "6", "period_s"},
		{"period_s = 0.5", "period = 0.5", "6", "unknown key"},
		{"period_s = 0.5", "period_s = soon", "6", ""},
		{`"127.0.0.9:1234"`, `"127.0.0.9"`, "9", "via"},
	} {
		_, err := read(strings.Replace(goodFile, c.from, c.to, 1))
		if err == nil || !strings.Contains(err.Error(), path+":"+c.line+":") || !strings.Contains(err.Error(), c.says) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, wanted line %s and %q", c.to, err, c.line, c.says)
		}
	}
	if _, err := Read(path + ".none"); err == nil {
		t.Error("a file that is not there was read")
	}
}

func sealOf(t *testing.T, fleet string, keys ...string) *authenticator {
	t.Helper()
	c := Config{Fleet: fleet}
	for _, k := range keys {
		c.keys = append(c.keys, []byte(k))
	}
	return newAuthenticator(c)
}

// What is not the fleet's, not whole, not proven or not new is not taken; a key can be changed under way.
func TestSeal(t *testing.T) {
	a, b := sealOf(t, "lima", "one key of sixteen"), sealOf(t, "lima", "one key of sixteen")
	message := func(s *authenticator) []byte {
		text, err := s.sign(&wire.Message{Kind: wire.Message_PING, From: "n1", Start: 5, About: "n2"})
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	first := message(a)
	if m, why := b.verify(first); why != accepted || m.About != "n2" {
		t.Fatalf("%v, %v", m, why)
	}
	turned := append([]byte(nil), message(a)...)
	turned[len(turned)-20] ^= 1
	later := append([]byte(nil), message(a)...)
	later[0] = datagramVersion + 1
	for _, c := range []struct {
		name string
		text []byte
		why  rejection
	}{
		{"again", first, replayed}, {"nothing", nil, malformed}, {"a byte turned", turned, invalidMAC},
		{"a later version", later, unknownVersion}, {"noise", []byte{datagramVersion, 255, 255, 3, 1}, malformed},
		{"long", make([]byte, 300), malformed}, {"another fleet", message(sealOf(t, "cusco", "one key of sixteen")), otherFleet},
		{"another key", message(sealOf(t, "lima", "another key of it")), invalidMAC},
	} {
		if _, why := b.verify(c.text); why != c.why {
			t.Errorf("%s: %q, wanted %q", c.name, why, c.why)
		}
	}
	both := sealOf(t, "lima", "a newer key of it", "one key of sixteen")
	if _, why := both.verify(message(a)); why != accepted {
		t.Errorf("the old key while it is changed: %q", why)
	}
	var kept [][]byte
	for range 70 {
		kept = append(kept, message(a))
	}
	for i := len(kept) - 1; i >= 0; i-- { // the last first: 64 may be late
		_, why := b.verify(kept[i])
		if late := len(kept) - 1 - i; late < replayWindowSize && why != accepted || late >= replayWindowSize && why != replayed {
			t.Errorf("%d late: %q", late, why)
		}
	}
	for _, text := range kept {
		if _, why := b.verify(text); why != replayed {
			t.Fatal("taken twice")
		}
	}
}

// A member that sends under ever new names and starts fills no memory.
func TestSealIsBounded(t *testing.T) {
	s := sealOf(t, "lima", "one key of sixteen")
	for i := range 2 * maxSenders {
		s.checkReplay("n"+fmt.Sprint(i), 1, 1)
		s.checkReplay("n0", uint64(2+i), 1)
	}
	if len(s.windows) > maxSenders || len(s.windows["n0"]) > 2 {
		t.Errorf("%d names kept, %d starts of one", len(s.windows), len(s.windows["n0"]))
	}
}

func FuzzOpen(f *testing.F) {
	s := newAuthenticator(Config{Fleet: "lima", keys: [][]byte{[]byte("one key of sixteen")}})
	text, _ := s.sign(&wire.Message{From: "n1"})
	f.Add(text)
	f.Add([]byte{1, 10, 4, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		fresh := newAuthenticator(Config{Fleet: "lima", keys: [][]byte{[]byte("one key of sixteen")}})
		if m, why := fresh.verify(text); why == accepted && m.From == "" {
			t.Fatal("a message of nobody")
		}
	})
}

// The two halves of a cut fleet, each told that the other is dead, never reckon with so few nodes that both parts
// together are over the whole; and no step falls faster than stated.
func TestShare(t *testing.T) {
	for _, settled := range []int{2, 3, 10, 301} {
		var left, right BudgetDivisor
		was := settled
		for now := 0.0; now < 1000; now++ {
			living := settled
			if now > 10 && now < 500 {
				living = settled / 2
			}
			l, r := left.Update(now, living, settled), right.Update(now, settled-living, settled)
			if now > 10 && now < 500 {
				// Half of a budget is given out, each node its even part: l and r are what each reckons with.
				if sum := 0.5*float64(living)/float64(l) + 0.5*float64(settled-living)/float64(r); sum > 1 {
					t.Fatalf("%d nodes, %g s: parts of %g of the budget", settled, now, sum)
				}
			}
			if float64(was-l) > float64(settled)/fallSeconds+1 {
				t.Fatalf("%d nodes, %g s: from %d to %d at once", settled, now, was, l)
			}
			was = l
		}
		if was != settled {
			t.Errorf("%d nodes: reckons with %d after all is well", settled, was)
		}
	}
}
