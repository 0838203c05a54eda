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

// The rest of an opening line after the flow's id: that of an idempotent and that of a non-idempotent service type.
const (
	chatRequest  = "a1 c=chat,t=acme,d=2000"
	orderRequest = "a1 c=order,t=acme,d=2000"
)

// testHarness acts as the owner of a node: it carries out the node's effects and records them.
type testHarness struct {
	*testing.T
	node *Node
	now  float64

	lastAccepted    ConnID
	connectionState map[ConnID]string // dialed, failed, write closed, closed or reset; empty for open
	pendingReads    map[ConnID][]byte
	written         map[ConnID]string // everything that was written to a connection
	blocked         map[ConnID]bool   // connections whose far side accepts no data
	blockedWrites   []WriteDone       // the pending results of writes to blocked connections
	flowDials       []ConnID
	healthChecks    []ConnID
	dialedAddress   map[ConnID]string
	records         []ConnectionRecord

	watchSilent     bool    // advance does not make the watch send anything
	watchIndices    []int64 // the indices of the watches that were asked for
	parallelWatches int     // how many of these were made with KeepPrevious
	stoppedWatches  int
	discoveryMoves  []string

	reply            Reply
	gossip           []peers.HostLoad
	settingsResults  []SettingsApplied
	listenerRequests int
	holdListener     bool // the test supplies ListenerClosed, the result of CloseListener
	closeRequests    int  // how many times CloseListener was emitted
	exited           bool

	successor *testHarness // the process that startSuccessor started last, nil for none
	updates   []UpdatePeerProcess
	transfers []SendConnection
	boundHost BindHostConnection
}

// newHarness returns a harness with a node that has received a list of hosts. mode is the family's mode: "proxy" for a
// node that terminates connections, "pass" for one that packets pass through.
func newHarness(t *testing.T, mode string, hosts, descriptors int) *testHarness {
	t.Helper()
	return newHarnessWith(t, settingsJSON, mode, hosts, descriptors)
}

func newHarnessWith(t *testing.T, settingsText, mode string, hosts, descriptors int) *testHarness {
	t.Helper()
	balancer, listener, err := settings.Parse(fmt.Appendf(nil, settingsText, mode), 7)
	if err != nil {
		t.Fatal(err)
	}
	harness := &testHarness{
		T:               t,
		now:             1e9,
		lastAccepted:    1,
		connectionState: map[ConnID]string{},
		pendingReads:    map[ConnID][]byte{},
		written:         map[ConnID]string{},
		blocked:         map[ConnID]bool{},
		dialedAddress:   map[ConnID]string{},
	}
	harness.node = New(harness.now, Start{
		Settings:       balancer,
		Listener:       listener,
		CachedList:     endpoint.List{Index: 5, Complete: true},
		MaxDescriptors: descriptors,
	})
	harness.apply(TimerFired{})
	harness.apply(ListReceived{hostList(hosts)})
	return harness
}

// hostList returns a complete list of hosts, in the order of their ids.
func hostList(hosts int) endpoint.List {
	list := endpoint.List{Index: 6, Complete: true}
	for i := range hosts {
		list.Hosts = append(list.Hosts, endpoint.Host{
			Name:    fmt.Sprintf("s-%08x", 100+i),
			Address: fmt.Sprint("h", i),
			Zone:    "a",
			Status:  "SERVING",
			Weight:  1,
		})
	}
	return list
}

// apply passes an input to the node, and then the results of its effects, until there are no more results.
func (harness *testHarness) apply(input Input) {
	harness.Helper()
	for pending := []Input{input}; len(pending) > 0; pending = pending[1:] {
		for _, effect := range harness.node.Apply(harness.now, pending[0]) {
			if result := harness.carryOut(effect); result != nil {
				pending = append(pending, result)
			}
		}
	}
}

// carryOut carries out an effect and returns its result, nil if there is none or if the test supplies it later.
func (harness *testHarness) carryOut(effect Effect) Input {
	harness.Helper()
	switch effect := effect.(type) {
	case Dial:
		harness.dial(effect)
	case Read:
		harness.read(effect)
	case StopReading:
		return harness.stopReading(effect)
	case Write:
		return harness.write(effect)
	case CloseWrite:
		harness.connectionState[effect.Conn] = "write closed"
	case Close:
		return harness.close(effect)
	case CloseListener:
		harness.closeRequests++
		if !harness.holdListener {
			return ListenerClosed{}
		}
	case LogConnection:
		harness.records = append(harness.records, effect.Record)
	default:
		harness.record(effect)
	}
	return nil
}

// record records an effect that is not on a connection.
func (harness *testHarness) record(effect Effect) {
	switch effect := effect.(type) {
	case Watch:
		harness.watchIndices = append(harness.watchIndices, effect.Index)
		if effect.KeepPrevious {
			harness.parallelWatches++
		}
	case StopWatch:
		harness.stoppedWatches++
	case MoveDiscovery:
		harness.discoveryMoves = append(harness.discoveryMoves, effect.Address)
	case Reply:
		harness.reply = effect
	case SendGossip:
		harness.gossip = append(harness.gossip, effect.Loads...)
	case SettingsApplied:
		harness.settingsResults = append(harness.settingsResults, effect)
	case OpenListener:
		harness.listenerRequests++
	case Exit:
		harness.exited = true
	case UpdatePeerProcess:
		harness.updates = append(harness.updates, effect)
	case SendConnection:
		harness.transfers = append(harness.transfers, effect)
	case BindHostConnection:
		harness.boundHost = effect
	}
}

func (harness *testHarness) dial(dial Dial) {
	if c := harness.node.connections.byID[dial.Conn]; c != nil && c.role == healthCheckRole {
		harness.healthChecks = append(harness.healthChecks, dial.Conn)
	} else {
		harness.flowDials = append(harness.flowDials, dial.Conn)
	}
	harness.dialedAddress[dial.Conn] = dial.Address
	harness.connectionState[dial.Conn] = "dialed"
}

func (harness *testHarness) read(read Read) {
	harness.Helper()
	if harness.pendingReads[read.Conn] != nil || harness.connectionState[read.Conn] == "closed" {
		harness.Fatal("a second read on a connection, or a read on a closed connection")
	}
	harness.pendingReads[read.Conn] = read.Into
}

func (harness *testHarness) stopReading(stop StopReading) Input {
	harness.Helper()
	if harness.pendingReads[stop.Conn] == nil {
		harness.Fatal("StopReading for a connection without a pending read")
	}
	delete(harness.pendingReads, stop.Conn)
	return ReadDone{stop.Conn, 0, StreamOpen}
}

func (harness *testHarness) write(write Write) Input {
	harness.Helper()
	if state := harness.connectionState[write.Conn]; state != "" {
		harness.Fatalf("wrote %q to a connection that is %s", write.Data, state)
	}
	done := WriteDone{write.Conn, len(write.Data), false}
	if harness.blocked[write.Conn] {
		harness.blockedWrites = append(harness.blockedWrites, done)
		return nil
	}
	harness.written[write.Conn] += string(write.Data)
	return done
}

// close closes a connection. The close of a failed dial, which has no descriptor, is not confirmed.
func (harness *testHarness) close(request Close) Input {
	failed := harness.connectionState[request.Conn] == "failed"
	harness.connectionState[request.Conn] = "closed"
	if request.Reset {
		harness.connectionState[request.Conn] = "reset"
	}
	if failed {
		return nil
	}
	return Closed{request.Conn}
}

// receive makes the far side of a connection send text, in as many reads as the buffer requires, and then end the stream
// as given by end. If the node closes the connection before that, the rest is not delivered.
func (harness *testHarness) receive(conn ConnID, text string, end StreamState) {
	harness.Helper()
	for first := true; first || text != ""; first = false {
		into := harness.pendingReads[conn]
		state := harness.connectionState[conn]
		if into == nil && !first && state != "" && state != "dialed" {
			return
		}
		if into == nil {
			harness.Fatalf("no pending read for %.60q on connection %d, which is %q", text, conn, state)
		}
		delete(harness.pendingReads, conn)
		count := copy(into, text)
		text = text[count:]
		if text != "" {
			harness.apply(ReadDone{conn, count, StreamOpen})
		} else {
			harness.apply(ReadDone{conn, count, end})
		}
	}
}

// accept makes a client connect.
func (harness *testHarness) accept() ConnID {
	harness.Helper()
	harness.lastAccepted += 2
	harness.apply(Accepted{harness.lastAccepted})
	return harness.lastAccepted
}

// openFlow makes a client connect and send its opening line.
func (harness *testHarness) openFlow(request string) ConnID {
	harness.Helper()
	client := harness.accept()
	harness.receive(client, fmt.Sprintf("OPEN %x %s\r\n", 0x1000+client, request), StreamOpen)
	return client
}

// establish makes a client open a flow and its host confirm it.
func (harness *testHarness) establish(request string) (client, host ConnID) {
	harness.Helper()
	client = harness.openFlow(request)
	host = harness.completeLastDial()
	harness.receive(host, "UP 77\r\n", StreamOpen)
	if harness.written[client] != "UP 77\r\n" {
		harness.Fatalf("the client was sent %q", harness.written[client])
	}
	return client, host
}

// completeLastDial makes the last dial for a flow succeed and returns its connection.
func (harness *testHarness) completeLastDial() ConnID {
	harness.Helper()
	if len(harness.flowDials) == 0 {
		harness.Fatal("nothing was dialed")
	}
	return harness.completeDial(harness.flowDials[len(harness.flowDials)-1])
}

// completeDial makes a dial succeed.
func (harness *testHarness) completeDial(conn ConnID) ConnID {
	harness.Helper()
	harness.connectionState[conn] = ""
	harness.apply(Dialed{conn, nil, false})
	return conn
}

// failDial makes a dial fail.
func failDial(harness *testHarness, conn ConnID) {
	harness.Helper()
	harness.connectionState[conn] = "failed"
	harness.apply(Dialed{conn, errors.New("refused"), false})
}

// advance lets time pass in steps of 10 ms, with a timer at each step and a WatchAlive every two seconds.
func (harness *testHarness) advance(seconds float64) {
	harness.Helper()
	for end := harness.now + seconds; harness.now < end; harness.apply(TimerFired{}) {
		harness.now += 0.01
		watch := &harness.node.watch
		if !harness.watchSilent && watch.state != watchIdle && harness.now-watch.lastActivity >= 2 {
			harness.apply(WatchAlive{})
		}
	}
}

// query sends a query to the node and returns its reply.
func (harness *testHarness) query(question Question, host string) Reply {
	harness.Helper()
	harness.reply = Reply{Statistics: Statistics{Accepted: -1}}
	harness.apply(Query{question, host})
	if harness.reply.Statistics.Accepted < 0 {
		harness.Fatal("no reply")
	}
	return harness.reply
}

// unavailable returns how many hosts on the list get no new flows.
func (harness *testHarness) unavailable() int { return harness.node.currentStatistics().Unavailable }

// endReasons returns the reasons of the clients' connections that have ended.
func (harness *testHarness) endReasons() (reasons []Reason) {
	for _, record := range harness.records {
		reasons = append(reasons, record.Reason)
	}
	return reasons
}

// checkReleased checks that the node has no connections, descriptors or flows once the linger timeout has passed.
func (harness *testHarness) checkReleased() {
	harness.Helper()
	harness.advance(lingerTimeout + 5)
	connections := &harness.node.connections
	flows := harness.node.flows.byIndex
	isHeld := func(f *flow) bool { return f != nil }
	if len(connections.byID) != 0 || connections.descriptors != 0 || slices.ContainsFunc(flows, isHeld) {
		harness.Fatalf("not released: %d connections, %d descriptors, flows %v", len(connections.byID),
			connections.descriptors, flows)
	}
}

// checkedStatistics returns the statistics after checking the invariants that hold after any input.
func (harness *testHarness) checkedStatistics() Statistics {
	harness.Helper()
	statistics := harness.node.currentStatistics()
	sum := statistics.Waiting
	for _, counts := range statistics.Types {
		sum += counts.Established + counts.Rejected + counts.Aborted + counts.ClientLeft
	}
	open, waiting, transferring := 0, 0, 0
	for _, f := range harness.node.flows.byIndex {
		if f == nil || f.ended {
			continue
		}
		open++
		if f.transferring {
			transferring++
		}
		if !f.established {
			waiting++
		}
	}
	if statistics.Accepted != sum || statistics.Open != open || statistics.Waiting != waiting {
		harness.Fatalf("accepted %d, answered, left or waiting %d; open %d, counted %d; waiting %d, counted %d",
			statistics.Accepted, sum, open, statistics.Open, waiting, statistics.Waiting)
	}
	if counted := harness.node.upgrade.transfers.open; counted != transferring {
		harness.Fatalf("%d flows are being transferred, counted %d", transferring, counted)
	}
	return statistics
}
