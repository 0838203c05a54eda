package membership

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

// The files under testdata were written by version 5fa7498 and must never be regenerated: nodes of that version run in the
// same fleet as newer ones. A failing test in this file means that the wire format has changed.

func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

func goldenConfig() Config {
	return Config{Self: Member{Name: "node-a", Start: 1700000000000001, Address: "127.0.0.1:7000", Zone: "zone-a", Build: "5fa7498",
		Ready: true}, Join: []string{"127.0.0.2:7000"}, Seed: 7, Period: 1, ProbeTimeout: 0.2, IndirectProbes: 2, MaxMessageBytes: 208}
}

// goldenUpdate returns an update about a suspect with every field set.
func goldenUpdate() *wire.Update {
	return &wire.Update{Name: "node-b", Start: 1700000000000002, Incarnation: 7, State: uint32(Suspect), Address: "127.0.0.2:7000",
		Zone: "zone-b", Build: "5fa7498", Ready: true, Bad: []uint32{NameHash("node-c"), NameHash("node-d")}, By: "node-c"}
}

// render returns one line for each message to be sent: the address, a space and the encoded message in hexadecimal.
func render(t *testing.T, effects []Effect) []byte {
	t.Helper()
	var out bytes.Buffer
	for _, e := range effects {
		send, ok := e.(Send)
		if !ok {
			continue
		}
		text, err := proto.MarshalOptions{Deterministic: true}.Marshal(send.Message)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s %x\n", send.To, text)
	}
	return out.Bytes()
}

// Guards against fields that are lost or encoded differently when a node forwards an update: the update about a member
// must have the same bytes as the update from which the node learned of it.
func TestGoldenUpdateIsReadAndWritten(t *testing.T) {
	m := New(100, goldenConfig())
	m.Receive(100, &wire.Message{Kind: wire.Message_STATE, From: "node-c", Start: 3, Updates: []*wire.Update{goldenUpdate()}})
	member, known := m.Member("node-b")
	want := Member{Name: "node-b", Start: 1700000000000002, Incarnation: 7, State: Suspect, Since: 100, Address: "127.0.0.2:7000",
		Zone: "zone-b", Build: "5fa7498", Ready: true, BadLinks: []uint32{NameHash("node-c"), NameHash("node-d")}}
	if !known || !reflect.DeepEqual(member, want) {
		t.Errorf("%+v, want %+v", member, want)
	}
	for value, i := reflect.ValueOf(member), 0; i < value.NumField(); i++ {
		if value.Field(i).IsZero() {
			t.Errorf("Member.%s is zero", value.Type().Field(i).Name)
		}
	}
	text, err := proto.Marshal(m.find("node-b").update())
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "update.bin", text)
}

// goldenSend is a case in which a node that knows other members sends messages.
type goldenSend struct {
	name string
	send func(m *Members) []Effect
}

// goldenSends returns cases for all kinds of messages that a node sends, except the join request.
func goldenSends() []goldenSend {
	return []goldenSend{
		{"ping", func(m *Members) []Effect { return m.Tick(m.NextTick()) }},
		{"ping-req", func(m *Members) []Effect {
			m.Tick(m.NextTick())
			return m.Tick(m.NextTick())
		}},
		{"ack", func(m *Members) []Effect {
			return m.Receive(100.5, &wire.Message{Kind: wire.Message_PING, From: "node-c", Start: 1700000000000003, Seq: 42, About: "node-a",
				At: "127.0.0.3:7000"})
		}},
		{"ping-for-another", func(m *Members) []Effect {
			return m.Receive(100.01, &wire.Message{Kind: wire.Message_PING_REQ, From: "node-c", Start: 1700000000000003, Seq: 43,
				About: "node-d", At: "127.0.0.4:7000"})
		}},
		{"nack", func(m *Members) []Effect {
			m.Receive(100.01, &wire.Message{Kind: wire.Message_PING_REQ, From: "node-c", Start: 1700000000000003, Seq: 43,
				About: "node-d", At: "127.0.0.4:7000"})
			return m.Tick(100.211)
		}},
		{"ack-for-another", func(m *Members) []Effect {
			m.Receive(100.01, &wire.Message{Kind: wire.Message_PING_REQ, From: "node-c", Start: 1700000000000003, Seq: 43,
				About: "node-d", At: "127.0.0.4:7000"})
			return m.Receive(100.02, &wire.Message{Kind: wire.Message_ACK, From: "node-d", Start: 1700000000000004, Seq: 1})
		}},
		{"state", func(m *Members) []Effect {
			return m.Receive(100.01, &wire.Message{Kind: wire.Message_JOIN, From: "node-c", Start: 1700000000000003, At: "127.0.0.3:7000"})
		}},
		{"leave", func(m *Members) []Effect { return m.Leave(100.01) }},
		{"refutation", func(m *Members) []Effect {
			m.config.MaxMessageBytes = 600 // so that all updates fit
			m.Receive(100.01, &wire.Message{Kind: wire.Message_STATE, From: "node-c", Start: 1700000000000003, Updates: []*wire.Update{
				{Name: "node-a", Start: 1700000000000001, State: uint32(Suspect), Address: "127.0.0.1:7000", By: "node-d"}}})
			return m.Tick(m.NextTick())
		}},
	}
}

// Guards against changes to the messages that a node sends, as answers and on its own: nodes of older versions must be able
// to read them.
func TestGoldenMessagesOfANode(t *testing.T) {
	for _, c := range goldenSends() {
		t.Run(c.name, func(t *testing.T) {
			m := New(100, goldenConfig())
			m.Receive(100, &wire.Message{Kind: wire.Message_STATE, From: "node-c", Start: 1700000000000003, Updates: []*wire.Update{
				goldenUpdate(),
				{Name: "node-c", Start: 1700000000000003, Incarnation: 1, Address: "127.0.0.3:7000", Zone: "zone-c", Build: "5fa7498", Ready: true},
				{Name: "node-d", Start: 1700000000000004, Incarnation: 2, Address: "127.0.0.4:7000", Zone: "zone-d", Build: "5fa7498"},
				{Name: "node-e", Start: 1700000000000005, Incarnation: 3, Address: "127.0.0.5:7000", Zone: "zone-e", Build: "5fa7498"}}})
			got := render(t, c.send(m))
			if len(got) == 0 {
				t.Fatal("no message was sent")
			}
			checkGolden(t, "sent-"+c.name+".txt", got)
		})
	}
	t.Run("join", func(t *testing.T) {
		m := New(100, goldenConfig())
		got := render(t, m.Tick(m.NextTick()))
		if len(got) == 0 {
			t.Fatal("no message was sent")
		}
		checkGolden(t, "sent-join.txt", got)
	})
}

// Guards against changes to the digest of the state, with which two nodes decide whether to exchange it, and to the hashes
// that stand for names in lists of bad links.
func TestGoldenHashes(t *testing.T) {
	m := New(100, goldenConfig())
	m.Receive(100, &wire.Message{Kind: wire.Message_STATE, From: "node-c", Start: 3, Updates: []*wire.Update{goldenUpdate()}})
	checkGolden(t, "hashes.txt", fmt.Appendf(nil, "digest %016x\nnumber %08x\n", m.Digest(), NameHash("node-b")))
}

// Guards against changes to the numbers of the states on the wire, and to their names in views and logs.
func TestGoldenStates(t *testing.T) {
	for number, name := range []string{"alive", "suspect", "dead", "left", "unknown"} {
		if got := State(number).String(); got != name {
			t.Errorf("state %d is %q, want %q", number, got, name)
		}
	}
	if Alive != 0 || Suspect != 1 || Dead != 2 || Left != 3 {
		t.Error("the number of a state has changed")
	}
}
