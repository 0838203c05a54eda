package wire

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// The files under testdata were written by version 5fa7498 and must never be regenerated: nodes of that version run in the
// same fleet as newer ones. A failing test in this file means that the wire format has changed.

// goldenUpdate returns an update with every field set.
func goldenUpdate() *Update {
	return &Update{Name: "node-b", Start: 1700000000000002, Incarnation: 7, State: 1, Address: "127.0.0.2:7000", Zone: "zone-b",
		Build: "5fa7498", Ready: true, Bad: []uint32{0xdeadbeef, 0x01020304}, By: "node-c"}
}

// goldenMessage returns a message with every field set. No node sends such a message; it is there to check the number and
// type of each field.
func goldenMessage(kind Message_Kind) *Message {
	return &Message{Kind: kind, From: "node-a", Start: 1700000000000001, Seq: 42, About: "node-b", At: "127.0.0.1:7000",
		Hash: 0x0123456789abcdef, Again: true, Updates: []*Update{goldenUpdate(), goldenUpdate()}, Words: []byte{1, 0, 0, 0, 9, 64}}
}

func goldenSealed() *Sealed {
	return &Sealed{Fleet: []byte{1, 2, 3, 4}, Count: 300, Body: []byte{8, 1, 18, 2, 'n', '1'}, Mac: bytes.Repeat([]byte{0xa5}, 16)}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// checkGolden checks that a message encodes to the bytes of a file, and that they decode to the message and encode to the
// same bytes again.
func checkGolden(t *testing.T, name string, message proto.Message) {
	t.Helper()
	deterministic := proto.MarshalOptions{Deterministic: true}
	encoded, err := deterministic.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	golden := readGolden(t, name)
	if !bytes.Equal(encoded, golden) {
		t.Errorf("encoded\n%x\nwant\n%x", encoded, golden)
	}
	decoded := message.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(golden, decoded); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(decoded, message) {
		t.Errorf("decoded\n%v\nwant\n%v", decoded, message)
	}
	checkAllFieldsSet(t, decoded.ProtoReflect())
	if again, err := deterministic.Marshal(decoded); err != nil || !bytes.Equal(again, golden) {
		t.Errorf("encoded again\n%x\nwant\n%x (%v)", again, golden, err)
	}
}

// checkAllFieldsSet checks that each field of a message and of its nested messages is set, and that there are no unknown
// fields.
func checkAllFieldsSet(t *testing.T, message protoreflect.Message) {
	t.Helper()
	if unknown := message.GetUnknown(); len(unknown) > 0 {
		t.Errorf("%s: unknown fields %x", message.Descriptor().Name(), unknown)
	}
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !message.Has(field) {
			t.Errorf("%s.%s is not set", message.Descriptor().Name(), field.Name())
		}
		if field.IsList() && field.Message() != nil {
			list := message.Get(field).List()
			for k := range list.Len() {
				checkAllFieldsSet(t, list.Get(k).Message())
			}
		}
	}
}

// Guards against changes to the encoding of a message, for each kind.
func TestGoldenMessagesOfEachKind(t *testing.T) {
	for number, name := range Message_Kind_name {
		if number == int32(Message_NONE) {
			continue // the zero value is not encoded
		}
		t.Run(name, func(t *testing.T) {
			checkGolden(t, strings.ToLower(name)+".bin", goldenMessage(Message_Kind(number)))
		})
	}
}

// Guards against changes to the encoding of an authenticated message.
func TestGoldenSealedMessage(t *testing.T) { checkGolden(t, "sealed.bin", goldenSealed()) }

// Guards against fields that are encoded although they are not set: an empty message must encode to zero bytes.
func TestGoldenEmptyMessage(t *testing.T) {
	for _, message := range []proto.Message{&Message{}, &Update{}, &Sealed{}} {
		if encoded, err := proto.Marshal(message); err != nil || len(encoded) > 0 {
			t.Errorf("%T: %x, %v", message, encoded, err)
		}
	}
}

// Guards against changes to the numbers of the kinds, by which nodes of other versions recognise them.
func TestGoldenKindNumbers(t *testing.T) {
	want := []int32{0, 1, 2, 3, 4, 5, 6, 7}
	got := []Message_Kind{Message_NONE, Message_PING, Message_ACK, Message_PING_REQ, Message_NACK, Message_STATE, Message_JOIN,
		Message_WORDS}
	if len(Message_Kind_name) != len(want) {
		t.Errorf("%d kinds, want %d", len(Message_Kind_name), len(want))
	}
	for i, kind := range got {
		if int32(kind) != want[i] {
			t.Errorf("%v is %d, want %d", kind, kind, want[i])
		}
	}
}

// Guards against changes to the number, type or cardinality of a field. Names may change, because they are not encoded.
func TestGoldenFields(t *testing.T) {
	type field struct {
		number protoreflect.FieldNumber
		kind   protoreflect.Kind
		list   bool
	}
	for name, c := range map[string]struct {
		message proto.Message
		want    []field
	}{
		"Message": {&Message{}, []field{{1, protoreflect.EnumKind, false}, {2, protoreflect.StringKind, false},
			{3, protoreflect.Uint64Kind, false}, {4, protoreflect.Uint64Kind, false}, {5, protoreflect.StringKind, false},
			{6, protoreflect.StringKind, false}, {7, protoreflect.Uint64Kind, false}, {8, protoreflect.BoolKind, false},
			{9, protoreflect.MessageKind, true}, {10, protoreflect.BytesKind, false}}},
		"Update": {&Update{}, []field{{1, protoreflect.StringKind, false}, {2, protoreflect.Uint64Kind, false},
			{3, protoreflect.Uint32Kind, false}, {4, protoreflect.Uint32Kind, false}, {5, protoreflect.StringKind, false},
			{6, protoreflect.StringKind, false}, {7, protoreflect.StringKind, false}, {8, protoreflect.BoolKind, false},
			{9, protoreflect.Fixed32Kind, true}, {10, protoreflect.StringKind, false}}},
		"Sealed": {&Sealed{}, []field{{1, protoreflect.BytesKind, false}, {2, protoreflect.Uint64Kind, false},
			{3, protoreflect.BytesKind, false}, {4, protoreflect.BytesKind, false}}},
	} {
		t.Run(name, func(t *testing.T) {
			fields := c.message.ProtoReflect().Descriptor().Fields()
			if fields.Len() != len(c.want) {
				t.Fatalf("%d fields, want %d", fields.Len(), len(c.want))
			}
			for _, want := range c.want {
				f := fields.ByNumber(want.number)
				if f == nil || f.Kind() != want.kind || f.IsList() != want.list {
					t.Errorf("field %d: %v, want %v", want.number, f, want)
				}
			}
		})
	}
}
