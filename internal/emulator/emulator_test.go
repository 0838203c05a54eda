package emulator

import (
	"bytes"
	"runtime"
	"strings"
	"testing"

	"gorseledge/internal/node"
	"gorseledge/placement"
)

const calm = `
name = "calm"
lasts = 30
[fleet]
nodes = 3
hosts = 6
[[traffic]]
name = "chat"
effect = "repeatable"
rate = 6
lives = 10
load = 0.05
target = 0.3
timeout = 2
message = 0.1
value = 1
group = 4
retries = 3
backoff = 0.05
[[traffic]]
name = "order"
effect = "once-only"
rate = 2
lives = 5
load = 0.02
target = 0.3
timeout = 2
message = 0.1
value = 3
`

// hot has a crowd whose hosts all drain at once, but for one that has just started.
const hot = `
[[traffic]]
name = "crowd"
effect = "repeatable"
rate = 60
lives = 20
load = 0.1
target = 0.3
timeout = 2
value = 1
retries = 9
backoff = 0.1
[[fault]]
at = 10
kind = "grow"
count = 1
[[fault]]
at = 11
kind = "shrink"
count = 6
for = 0.1
`

func script(t *testing.T, text string) Scenario {
	t.Helper()
	s, err := Read("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A calm fleet serves nearly all, breaks no rule and answers each flow once.
func TestCalm(t *testing.T) {
	r := Play(script(t, calm), 1, Options{})
	if r.Established < 200 || r.Service < 0.97 || len(r.Breaks) > 0 || r.Unanswered > 0 {
		t.Errorf("%d of %d established, service %.3f, %d unanswered, breaks %v", r.Established, r.Asked, r.Service,
			r.Unanswered, r.Breaks)
	}
}

// The same seed gives the same trace, byte by byte, whatever runs beside it.
func TestSameTrace(t *testing.T) {
	s := script(t, "drawn_faults = 6\n"+calm)
	for _, permute := range []bool{false, true} {
		var first []byte
		for _, procs := range []int{1, 4} {
			was := runtime.GOMAXPROCS(procs)
			var b bytes.Buffer
			Play(s, 5, Options{Trace: &b, Permute: permute})
			runtime.GOMAXPROCS(was)
			if first == nil {
				first = b.Bytes()
			} else if !bytes.Equal(first, b.Bytes()) {
				t.Errorf("permuted %v: traces of one seed differ", permute)
			}
		}
	}
	if Play(s, 5, Options{}).Trace == Play(s, 6, Options{}).Trace {
		t.Error("two seeds gave one trace")
	}
}

// mute is a node that takes connections and hears nobody.
type mute struct{ Core }

func (m *mute) Apply(now float64, in node.Input) []node.Effect {
	if _, ok := in.(node.Accepted); ok {
		return nil
	}
	return m.Core.Apply(now, in)
}

// twice is a node that says each answer that turns a client away two times.
type twice struct{ Core }

func (m *twice) Apply(now float64, in node.Input) (out []node.Effect) {
	for _, e := range m.Core.Apply(now, in) {
		if w, ok := e.(node.Write); ok && bytes.HasPrefix(w.Data, []byte("UP ")) {
			e = node.Write{Conn: w.Conn, Data: append([]byte("BUSY\r\n"), w.Data...)}
			m.Core = &short{m.Core, w.Conn, len(w.Data)}
		}
		out = append(out, e)
	}
	return out
}

// short sets the count of one write right, which the core below did not ask for.
type short struct {
	Core
	conn node.Conn
	n    int
}

func (s *short) Apply(now float64, in node.Input) []node.Effect {
	if w, ok := in.(node.WriteDone); ok && w.Conn == s.conn && w.Count == s.n+len("BUSY\r\n") {
		in = node.WriteDone{Conn: w.Conn, Count: s.n}
	}
	return s.Core.Apply(now, in)
}

// hoarder holds something to the end.
type hoarder struct{ Core }

func (hoarder) Held() (flows, conns, descriptors int) { return 1, 0, 0 }

// double sends each first line to a second connection as well.
type double struct {
	Core
	to    map[node.Conn]string // address of what was dialed
	lines map[node.Conn][]byte // of second connections
}

const second = node.Conn(1) << 40

func (d *double) Apply(now float64, in node.Input) []node.Effect {
	switch in := in.(type) {
	case node.Dialed:
		if line := d.lines[in.Conn]; line != nil {
			if in.Err != nil {
				return nil
			}
			return []node.Effect{node.Write{Conn: in.Conn, Data: line}}
		}
	case node.WriteDone:
		if d.lines[in.Conn] != nil {
			return nil
		}
	}
	out := d.Core.Apply(now, in)
	for _, e := range out {
		switch e := e.(type) {
		case node.Dial:
			d.to[e.Conn] = e.Address
		case node.Write:
			if address := d.to[e.Conn]; address != "" && bytes.HasPrefix(e.Data, []byte("OPEN ")) && e.Conn%16 == 0 {
				d.lines[e.Conn+second] = bytes.Clone(e.Data)
				out = append(out, node.Dial{Conn: e.Conn + second, Address: address, Timeout: 1})
			}
		}
	}
	return out
}

// Each checker fires on a node that is wrong in just that way, and on no sound one.
func TestCheckersFire(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		faults     string
		wrap       func(Core) Core
		tune       func(r *placement.Settings)
	}{
		{"nobody is heard", OneAnswer, "", func(c Core) Core { return &mute{c} }, nil},
		{"two answers", OneAnswer, "", func(c Core) Core { return &twice{c} }, nil},
		{"the list of who drains is not heard", Drains, "[[fault]]\nat = 10\nkind = \"release\"\ncount = 4\nfor = 10\n",
			func(c Core) Core { return &deaf{c} }, nil},
		{"a yes to operators with nothing behind it", Drains, operated, func(c Core) Core { return &careless{c} }, nil},
		{"two connects out", OneOut, "", func(c Core) Core {
			return &double{c, map[node.Conn]string{}, map[node.Conn][]byte{}}
		}, nil},
		{"a once-only flow sent twice", NoTwice, "", func(c Core) Core {
			return &double{c, map[node.Conn]string{}, map[node.Conn][]byte{}}
		}, nil},
		{"cold hosts taken for warm", Cold, hot, nil, func(r *placement.Settings) { r.SlowStartTime = 0 }},
		{"a client's going is not seen", Gone, "[[fault]]\nat = 5\nkind = \"leave\"\nby = 1\nfor = 15\n" +
			"[[fault]]\nat = 5\nkind = \"errs\"\nhost = 1\nby = 1\nfor = 15\n[[fault]]\nat = 5\nkind = \"stall\"\nhost = 2\nfor = 15\n",
			func(c Core) Core { return &clingy{c} }, nil},
		{"something is held to the end", Leftovers, "", func(c Core) Core { return &hoarder{c} }, nil},
	} {
		s := script(t, calm+c.faults)
		world := uint64(3)
		if c.rule == Cold {
			world = 4 // in world 3 a node so wrong pushes none over
		}
		r := Play(s, world, Options{Wrong: c.wrap, Tune: c.tune})
		fired := false
		for _, b := range r.Breaks {
			fired = fired || b.Rule == c.rule && b.Step > 0 && len(b.Last) > 0
		}
		if !fired {
			t.Errorf("%s: %d breaks, none of %q", c.name, len(r.Breaks), c.rule)
		}
		if sound := Play(s, world, Options{}); len(sound.Breaks) > 0 {
			t.Errorf("%s: the sound node broke %v", c.name, sound.Breaks[0])
		}
	}
}

// clingy does not see that a client has gone.
type clingy struct{ Core }

func (c *clingy) Apply(now float64, in node.Input) []node.Effect {
	if got, ok := in.(node.ReadDone); ok && got.Conn%2 == 1 && got.End != node.Open {
		return nil
	}
	return c.Core.Apply(now, in)
}

// deaf takes what drains for what serves.
type deaf struct{ Core }

func (d *deaf) Apply(now float64, in node.Input) []node.Effect {
	if l, ok := in.(node.ListReceived); ok {
		l.List.Hosts = append(l.List.Hosts[:0:0], l.List.Hosts...)
		for i := range l.List.Hosts {
			l.List.Hosts[i].Status = "SERVING"
		}
		in = l
	}
	return d.Core.Apply(now, in)
}

// What is wrong with a script is one message with file and line.
func TestScripts(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"an unknown key", "lasts = 5\nhops = 3\n", "test.toml:2: unknown key hops"},
		{"an unknown key in a table", "[fleet]\nnodes = 3\n\nhops = 3\n", "test.toml:4: unknown key fleet.hops"},
		{"no number", "lasts = \"x\"\n", "test.toml:1:"},
		{"no TOML", "lasts = = 3\n", "test.toml:1:"},
		{"a negative time", "lasts = -3\n", "test.toml:1: lasts is -3"},
		{"a fault on a host that is not there", calm + "[[fault]]\nat = 3\nkind = \"crash\"\nhost = 6\n",
			"test.toml:33: there is no host 6"},
		{"a second fault", calm + "[[fault]]\nat = 3\nkind = \"crash\"\nhost = 1\n[[fault]]\nat = -1\nkind = \"crash\"\n",
			"test.toml:35: at is -1"},
		{"a fault that is none", calm + "[[fault]]\nkind = \"rain\"\n", "test.toml:31: no fault is called"},
		{"a fault after the end", calm + "[[fault]]\nat = 31\nkind = \"crash\"\n", "test.toml:31: at is 31"},
		{"no such effect", "[[traffic]]\nname = \"a\"\neffect = \"odd\"\n", "test.toml:3: effect"},
		{"a node that is not there", calm + "[[fault]]\nkind = \"node_kill\"\nnode = 3\n", "test.toml:32: there is no node 3"},
	} {
		_, err := Read("test.toml", []byte(c.text))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, wanted %s", c.name, err, c.want)
		}
	}
}

func FuzzScripts(f *testing.F) {
	f.Add([]byte(calm))
	f.Add([]byte("[[fault]]\nkind = \"crash\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) { Read("f", text) })
}

// A handful of seeds with drawn faults: no rule is broken.
func TestDrawnFaults(t *testing.T) {
	for seed := range uint64(6) {
		r := Play(script(t, "drawn_faults = 5\n"+calm), seed, Options{Permute: seed%2 == 1})
		for _, b := range r.Breaks {
			t.Errorf("seed %d: %v", seed, b)
		}
	}
}

// careless says yes to whoever takes a host out, and goes on.
type careless struct{ Core }

func (c *careless) Apply(now float64, in node.Input) []node.Effect {
	if q, ok := in.(node.Query); ok && q.Question == node.DisableHost {
		return []node.Effect{node.Reply{OK: true}}
	}
	return c.Core.Apply(now, in)
}

const operated = `
[[fault]]
at = 4
kind = "hand"
host = 2
for = 14
[[fault]]
at = 6
kind = "upgrade"
node = 0
[[fault]]
at = 8
kind = "upgrade"
node = 1
[[fault]]
at = 16
kind = "upgrade"
node = 0
`

// Upgrades break and move nobody, and a host that is out stays out over them.
func TestUpgrades(t *testing.T) {
	s := script(t, calm+strings.Replace(operated, `kind = "hand"`, `kind = "roster_late"`, 1))
	for seed := range uint64(4) {
		r := Play(s, seed, Options{Permute: seed%2 == 1})
		if r.Broken > 0 || r.Moved > 0 || r.Service < 0.97 || len(r.Breaks) > 0 || r.Unanswered > 0 {
			t.Errorf("seed %d: %d broken, %d moved, %d unanswered, service %.3f, breaks %v", seed, r.Broken, r.Moved,
				r.Unanswered, r.Service, r.Breaks)
		}
	}
}

// An upgrade at any moment, also beside kills, drops of discovery and calls by hand, breaks no rule; the same seed
// gives the same trace.
func TestUpgradesAmongFaults(t *testing.T) {
	s := script(t, "drawn_faults = 6\n"+calm+operated)
	for seed := range uint64(12) {
		r := Play(s, seed, Options{Permute: seed%2 == 1})
		for _, b := range r.Breaks {
			t.Errorf("seed %d: %v", seed, b)
		}
		if seed == 3 && r.Trace != Play(s, seed, Options{Permute: true}).Trace {
			t.Error("traces of one seed differ")
		}
	}
}
