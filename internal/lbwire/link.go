// Package lbwire speaks the bench's frames: it decodes events into calls on a balancer and encodes the
// balancer's decisions. Microseconds, ids and codes end here; nothing is decided here.
package lbwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"gorseledge/internal/peers"
	"gorseledge/internal/settings"
	"gorseledge/placement"
)

const (
	headLen, eventLen, entryLen = 16, 48, 22
	replyHeadLen, actionLen     = 8, 16
	longestFrame                = 1 << 28
	micro                       = 1e-6
)

var be = binary.BigEndian

// Event codes.
const (
	evLeft, evProbed, evFlow, evNote, evPeer, evCarried = 1, 2, 3, 4, 5, 6
	evEnded, evFirst, evList, evWake, evHello, evStop   = 7, 8, 9, 10, 11, 12
)

var outcomes = map[uint16]placement.Outcome{0: placement.Served, 5: placement.Failed, 11: placement.Rejected,
	110: placement.TimedOut, 111: placement.ConnectFailed, 104: placement.ConnectionLost, 125: placement.Canceled,
	114: placement.NotSent}

var listKinds = map[byte]placement.ListKind{0: placement.ListCached, 1: placement.ListChanges,
	2: placement.ListFull, 4: placement.ListFailed}

var states = map[byte]placement.EndpointState{0: placement.Removed, 1: placement.Ready, 2: placement.Draining}

// instance is one balancer with the small indices its flows and servers go by.
type instance struct {
	b       *placement.Balancer
	fields  []string
	flows   map[uint32]int
	flowIDs []uint32
	free    []int
	touched []int // flows that may have ended in this batch
	servers map[uint32]int
	hostIDs []uint32
	words   []peers.HostLoad // for the other instances, in this batch
}

func (in *instance) server(id uint32) int {
	at, ok := in.servers[id]
	if !ok {
		at = len(in.hostIDs)
		in.servers[id] = at
		in.hostIDs = append(in.hostIDs, id)
	}
	return at
}

func (in *instance) newFlow(id uint32) int {
	at := len(in.flowIDs)
	if n := len(in.free); n > 0 {
		at, in.free = in.free[n-1], in.free[:n-1]
		in.flowIDs[at] = id
	} else {
		in.flowIDs = append(in.flowIDs, id)
	}
	in.flows[id] = at
	return at
}

func (in *instance) flow(id uint32) int {
	at, ok := in.flows[id]
	if !ok {
		return -1
	}
	in.touched = append(in.touched, at)
	return at
}

func (in *instance) sweep() {
	for _, at := range in.touched {
		if in.b.Release(at) {
			delete(in.flows, in.flowIDs[at])
			in.free = append(in.free, at)
		}
	}
	in.touched = in.touched[:0]
}

// Serve answers each batch on r with one reply on w until r ends.
func Serve(r io.Reader, w io.Writer) error {
	br, bw := bufio.NewReaderSize(r, 1<<16), bufio.NewWriterSize(w, 1<<16)
	l := &link{nodes: map[uint16]*instance{}}
	var frame []byte
	var head [headLen]byte
	for n := 0; ; n++ {
		if _, err := io.ReadFull(br, head[:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("batch %d: cut off in its header", n)
		}
		size, count := be.Uint32(head[8:]), be.Uint32(head[12:])
		if size < headLen || size > longestFrame || uint64(count)*eventLen > uint64(size-headLen) {
			return fmt.Errorf("batch %d: %d bytes do not hold %d records", n, size, count)
		}
		if need := int(size - headLen); cap(frame) < need {
			frame = make([]byte, need)
		} else {
			frame = frame[:need]
		}
		if _, err := io.ReadFull(br, frame); err != nil {
			return fmt.Errorf("batch %d: cut off before its %d bytes", n, size)
		}
		if err := l.batch(float64(be.Uint64(head[:]))*micro, frame, int(count)); err != nil {
			return fmt.Errorf("batch %d, %w", n, err)
		}
		if err := l.flush(bw); err != nil {
			return err
		}
	}
}

type link struct {
	nodes map[uint16]*instance
	acts  []byte
	tail  []byte
	order []uint16
}

func (l *link) batch(now float64, frame []byte, count int) error {
	tail := frame[count*eventLen:]
	l.acts, l.tail, l.order = l.acts[:0], l.tail[:0], l.order[:0]
	for i := range count {
		rec := frame[i*eventLen : (i+1)*eventLen]
		if err := l.event(now, rec, tail); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
	}
	for i, no := range l.order {
		in := l.nodes[no]
		if in == nil || slices.Contains(l.order[:i], no) {
			continue
		}
		for {
			d, ok := in.b.Next(now)
			if !ok {
				break
			}
			l.act(no, in, d)
		}
		l.tell(no, in)
		in.sweep()
	}
	return nil
}

// piece cuts what a field of offset and length names out of the tail, in units of size bytes.
func piece(field, tail []byte, size uint64) ([]byte, error) {
	from, n := uint64(be.Uint32(field)), uint64(be.Uint32(field[4:]))*size
	if from+n > uint64(len(tail)) {
		return nil, fmt.Errorf("bytes %d to %d are past the tail's %d", from, from+n, len(tail))
	}
	return tail[from : from+n], nil
}

func f32(field []byte) float64 { return float64(math.Float32frombits(be.Uint32(field))) }

func outcome(code uint16) placement.Outcome {
	if o, ok := outcomes[code]; ok {
		return o
	}
	return placement.ConnectionLost // an outcome not known may have run
}

func (in *instance) report(rec []byte) placement.LoadReport {
	r := placement.LoadReport{Load: -1}
	for i := range min(int(rec[0]), len(in.fields), 4) {
		if in.fields[i] == "x0" {
			r.Load = f32(rec[1+4*i:])
		}
	}
	return r
}

func arrival(rec []byte) placement.Arrival {
	opts := rec[37]
	a := placement.Arrival{Type: int(be.Uint16(rec[7:])), Tenant: int(be.Uint32(rec[9:])),
		ClientKey: be.Uint64(rec[13:]),
		Timeout:   float64(be.Uint32(rec[21:])) * micro, GroupKey: be.Uint64(rec[29:]), MidFlow: opts&8 != 0,
		Returning: opts&16 != 0}
	if opts&1 != 0 {
		a.Load = float64(be.Uint32(rec[25:])) * micro
	}
	return a
}

func (l *link) event(now float64, rec, tail []byte) error {
	no := be.Uint16(rec[1:])
	switch rec[0] {
	case evHello:
		text, err := piece(rec[11:], tail, 1)
		if err != nil {
			return err
		}
		r, door, err := settings.Parse(text, be.Uint64(rec[3:]))
		if err != nil {
			return err
		}
		if r.NodeNumber < 0 {
			r.NodeNumber = int(no)
		}
		l.nodes[no] = &instance{b: placement.New(r), fields: door.ReportFields, flows: map[uint32]int{},
			servers: map[uint32]int{}}
		l.order = append(l.order, no)
		return nil
	case evStop:
		delete(l.nodes, no)
		return nil
	}
	if rec[0] == 0 || rec[0] > evStop {
		return fmt.Errorf("unknown event code %d", rec[0])
	}
	in := l.nodes[no]
	if in == nil {
		return nil
	}
	if n := len(l.order); n == 0 || l.order[n-1] != no {
		l.order = append(l.order, no)
	}
	id := be.Uint32(rec[3:])
	switch rec[0] {
	case evFlow:
		if _, twice := in.flows[id]; !twice {
			in.newFlow(id)
			in.b.AddFlow(now, in.flow(id), arrival(rec))
		}
	case evCarried:
		if _, twice := in.flows[id]; !twice {
			in.newFlow(id)
			in.b.RestoreFlow(now, in.flow(id), arrival(rec), in.server(be.Uint32(rec[38:])))
		}
	case evFirst:
		in.b.Established(in.flow(id), int(be.Uint16(rec[7:])))
	case evEnded:
		in.b.AttemptEnded(now, in.flow(id), int(be.Uint16(rec[7:])), outcome(be.Uint16(rec[13:])), rec[19] != 0)
	case evLeft:
		in.b.ClientLeft(in.flow(id))
	case evNote:
		level := f32(rec[14:])
		switch rec[7] {
		case 1:
			in.b.ReportLoad(in.flow(id), level*micro)
		case 2:
			in.b.ReportDelay(now, in.flow(id), level*1e-3)
		}
	case evPeer:
		text, err := piece(rec[5:], tail, 1)
		if err != nil {
			return err
		}
		for _, w := range peers.Parse(text) {
			if at, known := in.servers[w.Host]; known {
				in.b.GossipReceived(now, at, w.Load)
			}
		}
	case evProbed:
		if at, ok := in.servers[be.Uint32(rec[9:])]; ok {
			in.b.HealthChecked(now, at, outcome(be.Uint16(rec[3:])), in.report(rec[13:]))
		}
	case evWake:
		in.b.Woken(now)
	case evList:
		kind, ok := listKinds[rec[7]]
		if !ok {
			return fmt.Errorf("unknown kind of list %d", rec[7])
		}
		text, err := piece(rec[8:], tail, entryLen)
		if err != nil {
			return err
		}
		items := make([]placement.Endpoint, 0, len(text)/entryLen)
		for ; len(text) > 0; text = text[entryLen:] {
			state, ok := states[text[6]]
			if !ok {
				return fmt.Errorf("unknown server state %d", text[6])
			}
			host := be.Uint32(text[16:])
			items = append(items, placement.Endpoint{Server: in.server(host), ID: host, State: state,
				StartedAt: float64(be.Uint64(text[7:])) * micro, Zone: int(be.Uint16(text[4:])),
				Cell: int(be.Uint16(text[20:])), Size: math.Max(f32(text), 0)})
		}
		in.b.UpdateEndpoints(now, kind, items)
	}
	return nil
}

func us(seconds float64) uint32 {
	return uint32(math.Min(math.Max(math.Round(seconds/micro), 1), math.MaxInt32))
}

func (l *link) act(no uint16, in *instance, d placement.Decision) {
	var rec [actionLen]byte
	be.PutUint16(rec[1:], no)
	switch d.Action {
	case placement.Connect:
		rec[0] = 1
		be.PutUint32(rec[3:], in.flowIDs[d.Flow])
		be.PutUint32(rec[7:], in.hostIDs[d.Server])
		be.PutUint32(rec[11:], us(d.Seconds))
	case placement.Reject:
		rec[0] = 2
		be.PutUint32(rec[3:], in.flowIDs[d.Flow])
		if d.Seconds > 0 {
			be.PutUint32(rec[7:], us(d.Seconds))
		}
	case placement.Abort:
		rec[0] = 3
		be.PutUint32(rec[3:], in.flowIDs[d.Flow])
	case placement.Wake:
		rec[0] = 5
		be.PutUint32(rec[3:], us(d.Seconds))
	case placement.CheckHealth:
		rec[0] = 6
		be.PutUint32(rec[3:], in.hostIDs[d.Server])
	case placement.Log:
		rec[0] = 9
		be.PutUint32(rec[3:], uint32(len(l.tail)))
		be.PutUint32(rec[7:], uint32(len(d.Message)))
		l.tail = append(l.tail, d.Message...)
	case placement.WatchEndpoints:
		rec[0], rec[3] = 11, 1
	case placement.GossipLoad:
		in.words = append(in.words, peers.HostLoad{Host: in.hostIDs[d.Server], Load: d.Load})
		return
	case placement.Migrate:
		rec[0] = 13
		be.PutUint32(rec[3:], in.flowIDs[d.Flow])
	}
	l.acts = append(l.acts, rec[:]...)
	if d.Action == placement.Reject || d.Action == placement.Abort {
		in.touched = append(in.touched, d.Flow)
	}
}

// tell sends the words of this batch to every other instance, in as few messages as they take.
func (l *link) tell(no uint16, in *instance) {
	for ; len(in.words) > 0; in.words = in.words[min(len(in.words), peers.MaxLoads):] {
		var rec [actionLen]byte
		rec[0] = 8
		be.PutUint16(rec[1:], no)
		be.PutUint16(rec[3:], math.MaxUint16)
		from := len(l.tail)
		l.tail = peers.Append(l.tail, in.words)
		be.PutUint32(rec[5:], uint32(from))
		be.PutUint32(rec[9:], uint32(len(l.tail)-from))
		l.acts = append(l.acts, rec[:]...)
	}
}

func (l *link) flush(w *bufio.Writer) error {
	var head [replyHeadLen]byte
	be.PutUint32(head[:], uint32(replyHeadLen+len(l.acts)+len(l.tail)))
	be.PutUint32(head[4:], uint32(len(l.acts)/actionLen))
	for _, part := range [][]byte{head[:], l.acts, l.tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Flush()
}
