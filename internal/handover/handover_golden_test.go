package handover

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gorseledge/internal/discovery/roster"
	"gorseledge/internal/node"
	"gorseledge/internal/node/live"
	"gorseledge/placement"
)

// The files under testdata were written by revision 5fa7498, whose processes exchange these messages during an
// upgrade. They are fixed for good: there is no flag that rewrites them. A failure here means that an upgrade from that
// version, or back to it, breaks; the code has to change, not the file. A renamed field keeps its old name in a
// json tag.

type goldenMessage struct {
	name    string
	message Message
}

// readLines returns the lines of a file under testdata, without their ends.
func readLines(t *testing.T, name string) [][]byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.HasSuffix(text, []byte("\n")) {
		t.Fatalf("%s does not end with a newline", name)
	}
	return bytes.Split(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
}

func pointer[T any](value T) *T { return &value }

func goldenSettings() live.Settings {
	return live.Settings{
		RetryAdvice: pointer(2.5),
		AskWithin:   pointer(7.25),
		Nodes:       pointer(3),
		Discovery:   pointer("127.0.0.1:8500"),
		MaxConnects: pointer(4),
		Sockets:     pointer(640),
		SlowStart: live.SlowStart{From: pointer(0.125), For: pointer(30.5), FallMultiple: pointer(1.75),
			FallFor: pointer(6.5)},
		Tenants: map[string]live.Tenant{
			"acme": {Connections: pointer(120)},
			"beta": {Connections: pointer(80)},
		},
		Types: map[string]live.ServiceType{
			"chat": {SetupTarget: pointer(0.75), MessageTarget: pointer(0.0625)},
			"feed": {SetupTarget: pointer(1.5), MessageTarget: pointer(0.1875)},
		},
		Hosts: map[string]live.Host{
			"s-5be2a07c": {DisabledUntil: pointer(1700000300.5), Weight: pointer(2.25)},
			"s-77d10e42": {DisabledUntil: pointer(1700000400.25), Weight: pointer(0.5)},
		},
	}
}

func goldenRevision() *live.Revision {
	return &live.Revision{
		Epoch:    5,
		Number:   41,
		Settings: goldenSettings(),
		State:    json.RawMessage(`{"entries":[{"key":"nodes","value":3}],"digest":"00ff"}`),
	}
}

func goldenStandings() []placement.Standing {
	return []placement.Standing{
		{
			Ceiling: 12.5, CutAt: 1700000001.5, ToldAt: 1700000002.25, DrainAt: 1700000003.75, Load: 0.625,
			JamAt: 1700000004.5, FullAt: 1700000005.5, Bad: 1.25, Good: 90.5, Hold: 4.5, ProbeAt: 1700000006.5,
			Least: 0.00390625, Aside: true, ByHand: true, HandAt: 1700000007.5, Wanted: 1700000008.5, Answers: 2,
			Round: 0.375,
		},
		{
			Ceiling: 13.5, CutAt: 1700000011.5, ToldAt: 1700000012.25, DrainAt: 1700000013.75, Load: 0.6875,
			JamAt: 1700000014.5, FullAt: 1700000015.5, Bad: 2.25, Good: 91.5, Hold: 5.5, ProbeAt: 1700000016.5,
			Least: 0.0078125, Aside: true, ByHand: true, HandAt: 1700000017.5, Wanted: 1700000018.5, Answers: 3,
			Round: 0.4375,
		},
	}
}

func goldenSitting() node.Sitting {
	return node.Sitting{ID: "a1b2c3", Key: 18446744073709551615, Host: "s-5be2a07c", Load: 0.28125}
}

func goldenLegacy() *node.Legacy {
	return &node.Legacy{
		Index: 9007199254740993,
		Heard: true,
		Hosts: []roster.Host{
			{Name: "s-5be2a07c", Address: "10.1.0.18:5000", Zone: "a", Group: 3, Status: "SERVING", Weight: 1.5,
				Since: 1700000000123},
			{Name: "s-77d10e42", Address: "10.1.0.19:5000", Zone: "b", Group: 4, Status: "DRAINING", Weight: 2.5,
				Since: 1700000000456},
		},
		Module: placement.Legacy{
			Servers: goldenStandings(),
			Typical: []float64{0.015625, 0.03125},
			Loads:   map[uint64]float64{7: 0.5, 18446744073709551614: 0.75},
			Gate:    8.5, GateAt: 1700000021.5, Least: 0.001953125, Strain: 0.3125,
		},
		Sits: []node.Sitting{goldenSitting(),
			{ID: "d4e5 <&>", Key: 9, Host: "s-77d10e42", Load: 0.34375}},
		Spent:          map[uint64]uint64{11: 12, 18446744073709551613: 18446744073709551612},
		Held:           321,
		Revision:       goldenRevision(),
		DisabledByHand: []string{"s-5be2a07c", "s-77d10e42"},
	}
}

func goldenParcel() *node.Parcel {
	return &node.Parcel{
		First: "OPEN 1 a1 c=chat,d=900\r\n", Host: "s-5be2a07c", Up: []byte("M\x00 1"), Down: []byte("\xff\xfe R"),
		Waits: []float64{1700000031.5, 1700000032.5}, Load: 0.40625, Setup: 0.125, Since: 1700000033.5, Sent: 4097,
		Back: 18446744073709551611,
	}
}

// goldenMessages are the messages of testdata/messages.jsonl, in the order of its lines.
func goldenMessages() []goldenMessage {
	sitting := goldenSitting()
	return []goldenMessage{
		{"claim", Message{Version: 1, Ask: Claim}},
		{"take", Message{Version: 1, Ask: Take}},
		{"refusal", Message{Version: 1, No: Busy}},
		{"state", Message{Version: 1, Legacy: goldenLegacy()}},
		{"news of a host taken out by hand", Message{Version: 1, News: &node.News{Out: "s-5be2a07c"}}},
		{"news of a host put back by hand", Message{Version: 1, News: &node.News{Back: "s-77d10e42"}}},
		{"news of a connection", Message{Version: 1, News: &node.News{Sits: &sitting}}},
		{"news of a connection's end", Message{Version: 1, News: &node.News{Over: "a1b2c3"}}},
		{"news of descriptors", Message{Version: 1, News: &node.News{Held: 77}}},
		{"news of a revision", Message{Version: 1, News: &node.News{Revision: goldenRevision()}}},
		{"connection", Message{Version: 1, Parcel: goldenParcel()}},
	}
}

// goldenSparseMessages are the messages of testdata/sparse.jsonl, in the order of its lines: they pin which fields are
// left out, and which are written although they are empty.
func goldenSparseMessages() []goldenMessage {
	return []goldenMessage{
		{"empty state", Message{Version: 1, Legacy: &node.Legacy{}}},
		{"state with empty entries", Message{Version: 1, Legacy: &node.Legacy{
			Hosts:    []roster.Host{{}},
			Module:   placement.Legacy{Servers: []placement.Standing{{}}, Loads: map[uint64]float64{}},
			Sits:     []node.Sitting{{}},
			Spent:    map[uint64]uint64{},
			Revision: &live.Revision{},
		}}},
		{"empty news", Message{Version: 1, News: &node.News{}}},
		{"news of an empty connection", Message{Version: 1, News: &node.News{Sits: &node.Sitting{}}}},
		{"news of an empty revision", Message{Version: 1, News: &node.News{Revision: &live.Revision{}}}},
		{"news of settings with empty entries", Message{Version: 1, News: &node.News{Revision: &live.Revision{
			Epoch: 1, Number: 2, Settings: live.Settings{
				Tenants: map[string]live.Tenant{"acme": {}},
				Types:   map[string]live.ServiceType{"chat": {}},
				Hosts:   map[string]live.Host{"s-5be2a07c": {}},
			}}}}},
		{"empty connection", Message{Version: 1, Parcel: &node.Parcel{}}},
	}
}

// fieldCheck looks for fields without a value.
type fieldCheck struct {
	t    *testing.T
	seen map[string]bool // fields of the types in alternatives that had a value somewhere
}

// alternatives are the types of which a message sets some fields only.
var alternatives = []reflect.Type{reflect.TypeFor[Message](), reflect.TypeFor[node.News]()}

func isAlternative(kind reflect.Type) bool {
	for _, alternative := range alternatives {
		if kind == alternative {
			return true
		}
	}
	return false
}

// value fails the test where v, or an exported field of anything in it, has no value. path names v.
func (c *fieldCheck) value(path string, v reflect.Value) {
	c.t.Helper()
	if v.IsZero() {
		c.t.Errorf("%s has no value", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		c.value(path, v.Elem())
	case reflect.Struct:
		c.fields(path, v)
	case reflect.Map:
		c.filled(path, v)
		for _, key := range v.MapKeys() {
			c.value(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
		}
	case reflect.Slice:
		c.filled(path, v)
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return // a zero byte is a value
		}
		for i := range v.Len() {
			c.value(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}

func (c *fieldCheck) fields(path string, v reflect.Value) {
	c.t.Helper()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() {
			continue // never leaves the process
		}
		if isAlternative(v.Type()) {
			if v.Field(i).IsZero() {
				continue
			}
			c.seen[fmt.Sprintf("%v.%s", v.Type(), field.Name)] = true
		}
		c.value(path+"."+field.Name, v.Field(i))
	}
}

func (c *fieldCheck) filled(path string, v reflect.Value) {
	c.t.Helper()
	if v.Len() == 0 {
		c.t.Errorf("%s is empty", path)
	}
}

// allSeen fails the test where no message set one of the alternatives' fields.
func (c *fieldCheck) allSeen() {
	c.t.Helper()
	for _, kind := range alternatives {
		for i := range kind.NumField() {
			if name := fmt.Sprintf("%v.%s", kind, kind.Field(i).Name); !c.seen[name] {
				c.t.Errorf("no golden message sets %s", name)
			}
		}
	}
}

// decodeStrictly decodes a message in which every key has to be one of a field's.
func decodeStrictly(t *testing.T, line []byte) Message {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	var message Message
	if err := decoder.Decode(&message); err != nil {
		t.Fatal(err)
	}
	return message
}

func encode(t *testing.T, message Message) []byte {
	t.Helper()
	text, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestGoldenMessagesSetEveryField(t *testing.T) {
	check := &fieldCheck{t: t, seen: map[string]bool{}}
	for i, line := range readLines(t, "messages.jsonl") {
		check.value(fmt.Sprintf("line %d: Message", i+1), reflect.ValueOf(decodeStrictly(t, line)))
	}
	check.allSeen()
}

func TestMessagesKeepTheirWireForm(t *testing.T) {
	for _, file := range []struct {
		name     string
		messages []goldenMessage
	}{
		{"messages.jsonl", goldenMessages()},
		{"sparse.jsonl", goldenSparseMessages()},
	} {
		lines := readLines(t, file.name)
		if len(lines) != len(file.messages) {
			t.Fatalf("%s has %d lines for %d messages", file.name, len(lines), len(file.messages))
		}
		for i, c := range file.messages {
			t.Run(c.name, func(t *testing.T) {
				decoded := decodeStrictly(t, lines[i])
				if !reflect.DeepEqual(decoded, c.message) {
					t.Errorf("decoded %+v, want %+v", decoded, c.message)
				}
				if got := encode(t, decoded); !bytes.Equal(got, lines[i]) {
					t.Errorf("decoded and encoded again:\n%s\nwant:\n%s", got, lines[i])
				}
				if got := encode(t, c.message); !bytes.Equal(got, lines[i]) {
					t.Errorf("encoded:\n%s\nwant:\n%s", got, lines[i])
				}
			})
		}
	}
}

// What Send writes to the socket is the golden line and its end, and Receive takes that line.
func TestLinkCarriesGoldenLines(t *testing.T) {
	lines := readLines(t, "messages.jsonl")
	for i, c := range goldenMessages() {
		t.Run(c.name, func(t *testing.T) {
			receiver, sender := joined(t, Path(t.TempDir(), "127.0.0.1:5000"))
			message := c.message
			message.Version = 0 // Send sets it
			if err := sender.Send(message); err != nil {
				t.Fatal(err)
			}
			want := append(bytes.Clone(lines[i]), '\n')
			got := make([]byte, len(want))
			if _, err := io.ReadFull(receiver.conn, got); err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want) {
				t.Errorf("sent:\n%s\nwant:\n%s", got, want)
			}
			if _, err := receiver.conn.Write(want); err != nil {
				t.Fatal(err)
			}
			received, err := sender.Receive()
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(received, c.message) {
				t.Errorf("received %+v, want %+v", received, c.message)
			}
		})
	}
}

// Descriptors travel with an empty line of their own, ahead of the message they belong to.
func TestPassWritesAnEmptyLine(t *testing.T) {
	receiver, sender := joined(t, Path(t.TempDir(), "127.0.0.1:5000"))
	listener, near, far := tcp(t)
	if err := sender.Pass(listener); err != nil {
		t.Fatal(err)
	}
	if err := sender.Pass(near, far); err != nil {
		t.Fatal(err)
	}
	for _, want := range []int{1, 3} {
		got := make([]byte, 8)
		n, err := receiver.Read(got)
		if err != nil || string(got[:n]) != "\n" || len(receiver.passed) != want {
			t.Errorf("%q with %d descriptors, %v; want %q with %d", got[:n], len(receiver.passed), err, "\n", want)
		}
	}
	receiver.Drop()
}

func TestSocketPathIsFixed(t *testing.T) {
	for _, c := range []struct{ dir, listen, want string }{
		{"/run/lb", "127.0.0.1:5000", "/run/lb/gorseledge-127.0.0.1-5000.sock"},
		{"/run/lb/", "[::1]:5000", "/run/lb/gorseledge-[--1]-5000.sock"},
		{"tmp", "a/b:1", "tmp/gorseledge-a_b-1.sock"},
		{"/run/lb", ":5000", "/run/lb/gorseledge--5000.sock"},
	} {
		t.Run(c.listen, func(t *testing.T) {
			if got := Path(c.dir, c.listen); got != c.want {
				t.Errorf("Path(%q, %q) = %q, want %q", c.dir, c.listen, got, c.want)
			}
		})
	}
}
