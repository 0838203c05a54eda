package rig

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// Each checker fires on what it is for, and on nothing that is excused.
func TestCheckersReportViolationsAndExcuses(t *testing.T) {
	s := &Script{Nodes: 5, Period: 0.25, Liveness: 10, Settle: 10}
	stop := &Fault{At: 1, Kind: "stop", Nodes: []int{1}, For: 5}
	short := &Fault{At: 1, Kind: "stop", Nodes: []int{1}, For: 0.5}
	kill := &Fault{At: 1, Kind: "kill", Nodes: []int{1}}
	oneWay := &Fault{At: 1, Kind: "cut", Nodes: []int{0}, To: []int{1}, For: 5}
	loss := &Fault{At: 1, Kind: "loss", Nodes: []int{0, 1, 2, 3, 4}, For: 5, By: 0.2}
	heavy := &Fault{At: 1, Kind: "loss", Nodes: []int{0, 1, 2, 3, 4}, For: 5, By: 0.4}
	dead := Event{At: 7, What: "member", Node: 2, Member: "n1", State: "dead"}
	during := func(f *Fault, over float64, more ...Event) []Event {
		all := append([]Event{{At: 1, What: "fault", Fault: f}}, more...)
		if over > 0 {
			all = append(all, Event{At: over, What: "over", Fault: f})
		}
		return append(all, Event{At: 30, What: "agree"})
	}
	told := func(but int) (out []Event) {
		for n := range 5 {
			if n != 1 && n != but {
				out = append(out, Event{At: 5, What: "member", Node: n, Member: "n1", State: "dead"})
			}
		}
		return out
	}
	for _, c := range []struct {
		name   string
		events []Event
		says   string
		rule   string
	}{
		{"a death out of nothing", []Event{dead}, "", RuleDeath},
		{"after a long stop", during(stop, 6, dead), "", ""},
		{"after a short one", during(short, 1.5, dead), "", RuleDeath},
		{"by a cut with a path left", during(oneWay, 6, dead), "", RuleDeath},
		{"at a fifth lost", during(loss, 6, dead), "", RuleDeath},
		{"at two fifths lost", during(heavy, 6, dead), "", ""},
		{"of another than was stopped", during(stop, 6, Event{At: 7, What: "member", Node: 1, Member: "n3", State: "dead"}), "",
			RuleDeath},
		{"known by all", during(kill, 0, told(-1)...), "", ""},
		{"not known by one", during(kill, 0, told(3)...), "", RuleKnown},
		{"no answer", []Event{{At: 3, What: "flow", Node: 2, Answer: "silent"}}, "", RuleAnswer},
		{"two answers", []Event{{At: 3, What: "flow", Node: 2, Answer: "up", Count: 2, Ended: "client"}}, "", RuleAnswer},
		{"broken off", []Event{{At: 3, What: "flow", Node: 2, Answer: "up", Count: 1, Ended: "cut"}}, "", RuleAnswer},
		{"moved", []Event{{At: 3, What: "flow", Node: 2, Answer: "up", Count: 1, Ended: "move"}}, "", ""},
		{"broken off by a kill", during(kill, 0, append(told(-1), Event{At: 3, Began: 0.5, What: "flow", Node: 1, Answer: "cut"})...),
			"", ""},
		{"ended by itself", []Event{{At: 3, What: "exit", Node: 2, Note: "exit status 2"}}, "", RuleExit},
		{"ended by a kill", during(kill, 0, append(told(-1), Event{At: 3, What: "exit", Node: 1})...), "", ""},
		{"half of a budget", []Event{{At: 3, What: "budget", Part: 0.5}}, "", ""},
		{"more than a budget", []Event{{At: 3, What: "budget", Part: 1.2}}, "", RuleBudget},
		{"no agreement", nil, "n1 holds n2 for dead", RuleAgree},
	} {
		var rules []string
		slices.SortFunc(c.events, func(a, b Event) int { return int(100 * (a.At - b.At)) })
		for _, b := range Check(s, &Result{Events: c.events}, c.says) {
			rules = append(rules, b.Rule)
		}
		if got := strings.Join(slices.Compact(rules), ", "); got != c.rule {
			t.Errorf("%s: broken %q, wanted %q", c.name, got, c.rule)
		}
	}
}

// When a death was known, and by how many; one that was over too soon does not count.
func TestDeathsReportsDetectionTimes(t *testing.T) {
	s := &Script{Nodes: 4, Period: 0.25, Lasts: 20}
	killed := &Fault{At: 1, Kind: "kill", Nodes: []int{1}}
	events := []Event{{At: 1, What: "fault", Fault: killed}, {At: 1, What: "over", Fault: killed}} // for good
	for n, at := range map[int]float64{0: 4, 2: 5, 3: 7} {
		events = append(events, Event{At: at, What: "member", Node: n, Member: "n1", State: "dead"})
	}
	slices.SortFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	if got := Deaths(s, events); !slices.Equal(got, []Death{{1, 3, 6, 3}}) {
		t.Errorf("%v", got)
	}
	killed.For = 1
	if got := Deaths(s, append(events, Event{At: 2, What: "over", Fault: killed})); len(got) != 0 {
		t.Errorf("after a second: %v", got)
	}
}

// Old datagrams come again while a way says so, and not before or after.
func TestRelayReplaysDatagramsOnlyWhileSet(t *testing.T) {
	to, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	r, err := NewRelay(to.LocalAddr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	from, err := net.Dial("udp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	buf := make([]byte, 100)
	read := func() string {
		to.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, _, err := to.ReadFrom(buf)
		if err != nil {
			t.Fatal(err)
		}
		return string(buf[:n])
	}
	from.Write([]byte("first"))
	from.Write([]byte("second"))
	if a, b := read(), read(); a != "first" || b != "second" {
		t.Fatalf("%s %s", a, b)
	}
	r.Set(func(w *LinkConditions) { w.Replay = 100 })
	for seen := map[string]bool{}; len(seen) < 2; { // both come, in any order
		seen[read()] = true
	}
	r.Set(func(w *LinkConditions) { w.Replay = 0 })
	from.Write([]byte("third"))
	for read() != "third" { // what was on the way comes first
	}
}

// A mistake in a script is told by file and line.
func TestScriptErrorNamesFileAndLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	good := "nodes = 4\nlasts = 10\n\n[[fault]]\nat = 1\nkind = \"cut\"\nnodes = [0]\nto = [1]\nfor = 2\n\n[[fault]]\nat = 2\n" +
		"kind = \"kill\"\nnodes = [3]\n"
	for _, c := range []struct{ from, to, line, says string }{
		{"", "", "", ""},
		{"nodes = 4", "nodes = 2", ":1:", "nodes"},
		{"lasts = 10", "last = 10", ":2:", "unknown key"},
		{"lasts = 10", "lasts = soon", ":2:", ""},
		{`"cut"`, `"cute"`, ":6:", "no fault"},
		{"nodes = [0]", "nodes = [4]", ":7:", "no node 4"},
		{"for = 2", "for = 20", ":9:", "outlasts"},
		{"at = 2", "at = -2", ":12:", "at"},
		{"nodes = [3]", "nodes = [3]\nto = [1]", ":15:", "processes"},
		{"nodes = [3]", "", ":11:", "no affected node"},
	} {
		if err := os.WriteFile(path, []byte(strings.Replace(good, c.from, c.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadFile(path)
		if c.line == "" {
			if err != nil {
				t.Errorf("a good one: %v", err)
			}
		} else if err == nil || !strings.Contains(err.Error(), path+c.line) || !strings.Contains(err.Error(), c.says) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, wanted %s and %q", c.to, err, c.line, c.says)
		}
	}
}

// The same seed draws the same faults, and of these no more than a third of the processes are away at once.
func TestGeneratedFaultsAreReproducibleAndLeaveEnoughNodes(t *testing.T) {
	s := &Script{Nodes: 9, Period: 0.25, Lasts: 60, GeneratedFaults: 30}
	for seed := range uint64(20) {
		faults := s.GenerateFaults(seed)
		if len(faults) < 10 {
			t.Errorf("seed %d: %d faults", seed, len(faults))
		}
		for i, f := range s.GenerateFaults(seed) {
			if f.String() != faults[i].String() || f.At != faults[i].At {
				t.Fatalf("seed %d draws two ways", seed)
			}
		}
		for at := 0.0; at < 60; at += 0.1 {
			away := 0
			for _, f := range faults {
				if !faultKinds[f.Kind].onLink && at >= f.At && at < f.At+f.For {
					away++
				}
			}
			if away > 3 {
				t.Errorf("seed %d, %.1f s: %d away", seed, at, away)
			}
		}
	}
}

// A history is a whole file or none; a timeline is drawn.
func TestHistoryIsCompleteOrAbsent(t *testing.T) {
	dir := t.TempDir()
	for _, whole := range []bool{false, true} {
		h, err := newHistory(filepath.Join(dir, "h.jsonl"))
		if err != nil {
			t.Fatal(err)
		}
		h.add(Event{What: "flow"})
		if err := h.close(whole); err != nil {
			t.Fatal(err)
		}
		left, _ := filepath.Glob(filepath.Join(dir, "*"))
		if whole != (len(left) == 1) {
			t.Errorf("whole %v: %v", whole, left)
		}
	}
	r := &Result{Nodes: 3, Events: []Event{{At: 1, What: "fault", Fault: &Fault{Kind: "stop", Nodes: []int{1}}},
		{At: 2, What: "over", Fault: &Fault{Kind: "stop", Nodes: []int{1}}},
		{At: 3, What: "member", Node: 0, Member: "n1", State: "suspect"}}}
	text, err := Timeline(r)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), "<svg") || !strings.Contains(string(text), "suspect") {
		t.Error("no timeline")
	}
}
