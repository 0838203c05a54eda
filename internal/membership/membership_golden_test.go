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

// The files under testdata were written by the version in service (5fa7498). They are fixed for good: nodes of that
// version run beside newer ones, so nothing rewrites them, and a test that fails here means a broken wire format.

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

// goldenUpdate is a suspect member with every field set.
func goldenUpdate() *wire.Update {
	return &wire.Update{Name: "node-b", Start: 1700000000000002, Incarnation: 7, State: uint32(Suspect), Address: "127.0.0.2:7000",
		Zone: "zone-b", Build: "5fa7498", Ready: true, Bad: []uint32{NameHash("node-c"), NameHash("node-d")}, By: "node-c"}
}

// render gives each message to be sent as a line: the address, a space and the message's bytes in hexadecimal.
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

// A member that is learned from an update is announced by the same bytes.
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

// goldenSend makes a node that knows its fleet send messages.
type goldenSend struct {
	name string
	send func(m *Members) []Effect
}

// goldenSends returns a case for each kind of message that a node sends.
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

// The messages that a node sends of each kind, as answers and by itself.
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

// What two nodes compare, or announce in place of names.
func TestGoldenHashes(t *testing.T) {
	m := New(100, goldenConfig())
	m.Receive(100, &wire.Message{Kind: wire.Message_STATE, From: "node-c", Start: 3, Updates: []*wire.Update{goldenUpdate()}})
	checkGolden(t, "hashes.txt", fmt.Appendf(nil, "digest %016x\nnumber %08x\n", m.Digest(), NameHash("node-b")))
}

// The numbers of the states on the wire, and their names in views and logs.
func TestGoldenStates(t *testing.T) {
	for number, name := range []string{"alive", "suspect", "dead", "left", "unknown"} {
		if got := State(number).String(); got != name {
			t.Errorf("state %d is %q, want %q", number, got, name)
		}
	}
	if Alive != 0 || Suspect != 1 || Dead != 2 || Left != 3 {
		t.Error("a state has another number")
	}
}
