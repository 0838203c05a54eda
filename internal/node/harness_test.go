package node

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/peers"
	"gorseledge/internal/settings"
)

const settingsJSON = `{"family_info":{"mode":"%s","message_aim_us":[50000,50000,50000]},"granularity_us":4000,
	"limits":{"dial_timeout_us":250000,"max_connects":3,"max_retry_after_us":2000000,"probes":true,"retry_after":true},
	"parties":[{"name":"acme"}],"zones":["a","b"],"siblings":1,"service_types":[
	{"name":"chat","effect":"repeatable","group":"all","give_up_us":2000000,"setup_target_us":300000},
	{"name":"order","effect":"once","group":"all","give_up_us":2000000,"setup_target_us":300000},
	{"name":"mail","effect":"by_key","group":"all","give_up_us":2000000,"memory_span_us":5000000}]}`

// testHarness stands in for all that is outside the core: it carries out effects and keeps what was written.
type testHarness struct {
	*testing.T
	node             *Node
	now              float64
	pendingReads     map[Conn][]byte
	written          map[Conn]string
	connectionState  map[Conn]string // dialed, failed, shut, closed, reset
	dialedAddress    map[Conn]string
	flowDials        []Conn // for flows
	healthChecks     []Conn
	records          []Record
	watchIndices     []int64
	watchSilent      bool // the watch says nothing
	stoppedWatches   int
	parallelWatches  int           // calls made beside another
	blocked          map[Conn]bool // writes to these are not taken
	blockedWrites    []WriteDone
	lastAccepted     Conn
	exited           bool
	reply            Reply
	updates          []HandoverUpdate
	listenerRequests int
	transfers        []SendConnection
	boundHost        BindHostConnection
	gossip           []peers.HostLoad

	settingsResults []SettingsApplied
	discoveryMoves  []string
}

func newHarness(t *testing.T, mode string, hosts, sockets int) *testHarness {
	return newHarnessWith(t, settingsJSON, mode, hosts, sockets)
}

func newHarnessWith(t *testing.T, settingsText, mode string, hosts, sockets int) *testHarness {
	r, d, err := settings.Parse(fmt.Appendf(nil, settingsText, mode), 7)
	if err != nil {
		t.Fatal(err)
	}
	w := &testHarness{T: t, now: 1e9, pendingReads: map[Conn][]byte{}, written: map[Conn]string{}, connectionState: map[Conn]string{},
		dialedAddress: map[Conn]string{}, blocked: map[Conn]bool{}, lastAccepted: 1}
	w.node = New(w.now, Start{Settings: r, Listener: d, CachedList: endpoint.List{Index: 5, Complete: true}, MaxDescriptors: sockets})
	w.apply(TimerFired{})
	w.apply(ListReceived{hostList(hosts)})
	return w
}

// hostList lists hosts whose ids rise with their place.
func hostList(hosts int) endpoint.List {
	l := endpoint.List{Index: 6, Complete: true}
	for i := range hosts {
		l.Hosts = append(l.Hosts, endpoint.Host{Name: fmt.Sprintf("s-%08x", 100+i), Address: fmt.Sprint("h", i),
			Zone:   "a",
			Status: "SERVING", Weight: 1})
	}
	return l
}

func (w *testHarness) apply(in Input) {
	w.Helper()
	for todo := []Input{in}; len(todo) > 0; todo = todo[1:] {
		for _, e := range w.node.Apply(w.now, todo[0]) {
			switch e := e.(type) {
			case Read:
				if w.pendingReads[e.Conn] != nil || w.connectionState[e.Conn] == "closed" {
					w.Fatal("a second read on a connection, or one on a closed connection")
				}
				w.pendingReads[e.Conn] = e.Into
			case Write:
				if h := w.connectionState[e.Conn]; h != "" {
					w.Fatalf("wrote %q to a connection that is %s", e.Data, h)
				}
				if w.blocked[e.Conn] {
					w.blockedWrites = append(w.blockedWrites, WriteDone{e.Conn, len(e.Data), false})
					continue
				}
				w.written[e.Conn] += string(e.Data)
				todo = append(todo, WriteDone{e.Conn, len(e.Data), false})
			case Dial:
				if c := w.node.connections.byID[e.Conn]; c != nil && c.role == healthCheckRole {
					w.healthChecks = append(w.healthChecks, e.Conn)
				} else {
					w.flowDials = append(w.flowDials, e.Conn)
				}
				w.dialedAddress[e.Conn] = e.Address
				w.connectionState[e.Conn] = "dialed"
			case CloseWrite:
				w.connectionState[e.Conn] = "shut"
			case Close:
				if w.connectionState[e.Conn] != "failed" {
					todo = append(todo, Closed{e.Conn})
				}
				w.connectionState[e.Conn] = "closed"
				if e.Reset {
					w.connectionState[e.Conn] = "reset"
				}
			case Watch:
				w.watchIndices = append(w.watchIndices, e.Index)
				if e.Beside {
					w.parallelWatches++
				}
			case StopWatch:
				w.stoppedWatches++
			case LogConnection:
				w.records = append(w.records, e.Record)
			case Exit:
				w.exited = true
			case Reply:
				w.reply = e
			case UpdatePeerProcess:
				w.updates = append(w.updates, e.Update)
			case OpenListener:
				w.listenerRequests++
			case StopReading:
				if w.pendingReads[e.Conn] == nil {
					w.Fatal("halted a connection that is not read")
				}
				delete(w.pendingReads, e.Conn)
				todo = append(todo, ReadDone{e.Conn, 0, Open})
			case SendConnection:
				w.transfers = append(w.transfers, e)
			case BindHostConnection:
				w.boundHost = e
			case SendGossip:
				w.gossip = append(w.gossip, e.Loads...)
			case SettingsApplied:
				w.settingsResults = append(w.settingsResults, e)
			case MoveDiscovery:
				w.discoveryMoves = append(w.discoveryMoves, e.Address)
			}
		}
	}
}

// receive has the far side send text, in as many reads as its ring needs, and then what end says.
func (w *testHarness) receive(c Conn, text string, end End) {
	w.Helper()
	for first := true; first || text != ""; first = false {
		into := w.pendingReads[c]
		if h := w.connectionState[c]; into == nil && !first && h != "" && h != "dialed" {
			return // what it said was enough
		}
		if into == nil {
			w.Fatalf("nobody reads %.60q on connection %d, which is %q", text, c, w.connectionState[c])
		}
		delete(w.pendingReads, c)
		n := copy(into, text)
		if text = text[n:]; text != "" {
			w.apply(ReadDone{c, n, Open})
		} else {
			w.apply(ReadDone{c, n, end})
		}
	}
}

// failDial has a dial fail.
func failDial(w *testHarness, h Conn) {
	w.connectionState[h] = "failed"
	w.apply(Dialed{h, errors.New("refused"), false})
}

func (w *testHarness) accept() Conn {
	w.lastAccepted += 2
	w.apply(Accepted{w.lastAccepted})
	return w.lastAccepted
}

// openFlow has a client send its first line.
func (w *testHarness) openFlow(what string) Conn {
	w.Helper()
	c := w.accept()
	w.receive(c, fmt.Sprintf("OPEN %x %s\r\n", 0x1000+c, what), Open)
	return c
}

// completeLastDial has the last dial succeed and gives its connection.
func (w *testHarness) completeLastDial() Conn {
	w.Helper()
	if len(w.flowDials) == 0 {
		w.Fatal("nothing was dialed")
	}
	return w.completeDial(w.flowDials[len(w.flowDials)-1])
}

func (w *testHarness) completeDial(h Conn) Conn {
	w.Helper()
	w.connectionState[h] = ""
	w.apply(Dialed{h, nil, false})
	return h
}

// establish gives a client and its host after the receipt.
func (w *testHarness) establish(what string) (client, host Conn) {
	w.Helper()
	client = w.openFlow(what)
	host = w.completeLastDial()
	w.receive(host, "UP 77\r\n", Open)
	if w.written[client] != "UP 77\r\n" {
		w.Fatalf("the client was told %q", w.written[client])
	}
	return client, host
}

// advance lets time go by, with a tick as often as the core could ask for one.
// pass lets time go by, in which the watch says something now and then.
func (w *testHarness) advance(seconds float64) {
	for end := w.now + seconds; w.now < end; w.apply(TimerFired{}) {
		w.now += 0.01
		if !w.watchSilent && w.node.watch.state != watchIdle && w.now-w.node.watch.lastActivity >= 2 {
			w.apply(WatchAlive{})
		}
	}
}

func (w *testHarness) endReasons() (reasons []Reason) {
	for _, r := range w.records {
		reasons = append(reasons, r.Reason)
	}
	return reasons
}

// checkReleased checks that no trace of ended connections is kept.
func (w *testHarness) checkReleased() {
	w.Helper()
	w.advance(lingerTimeout + 5)
	if len(w.node.connections.byID) != 0 || w.node.connections.descriptors != 0 || slices.ContainsFunc(w.node.flows.byIndex,
		func(f *flow) bool { return f != nil }) {
		w.Fatalf("left: %d connections, %d descriptors, flows %v", len(w.node.connections.byID), w.node.connections.descriptors, w.node.flows.byIndex)
	}
}

const chatRequest, orderRequest = "a1 c=chat,t=acme,d=2000", "a1 c=order,t=acme,d=2000"

func (w *testHarness) query(q Question, host string) Reply {
	w.Helper()
	w.reply = Reply{Figures: Figures{Accepted: -1}}
	w.apply(Query{q, host})
	if w.reply.Figures.Accepted < 0 {
		w.Fatal("no answer")
	}
	return w.reply
}

// checkedFigures checks what must hold of the figures after any input.
func (w *testHarness) checkedFigures() Figures {
	w.Helper()
	f := w.node.currentFigures()
	sum := f.Waiting
	for _, t := range f.Types {
		sum += t.Established + t.Rejected + t.Aborted + t.ClientLeft
	}
	open, waiting := 0, 0
	for _, g := range w.node.flows.byIndex {
		if g != nil && !g.over {
			open++
			if !g.established {
				waiting++
			}
		}
	}
	if f.Accepted != sum || f.Open != open || f.Waiting != waiting {
		w.Fatalf("taken %d, answered, left and waiting %d; open %d, counted %d; waiting %d, counted %d", f.Accepted, sum, open,
			f.Open, waiting, f.Waiting)
	}
	return f
}
