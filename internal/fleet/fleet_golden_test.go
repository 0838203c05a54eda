package fleet

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
	"gorseledge/internal/membership/wire"
	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

// The files under testdata were written by version 5fa7498 and must never be regenerated: nodes of that version run in the
// same fleet as newer ones, and operators keep their fleet files. A failing test in this file means that the wire format
// has changed, or that a fleet file is read differently.

const (
	goldenKey    = "00112233445566778899aabbccddeeff"
	goldenOldKey = "ffeeddccbbaa99887766554433221100"
)

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := readGolden(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// checkNoZero checks that no exported field of a value is zero, at any depth, so that a field that is no longer read from
// a golden file is noticed.
func checkNoZero(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	if value.IsZero() || value.Kind() == reflect.Slice && value.Len() == 0 || value.Kind() == reflect.Map && value.Len() == 0 {
		t.Errorf("%s is zero", path)
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		checkNoZero(t, path, value.Elem())
	case reflect.Slice:
		for i := range value.Len() {
			checkNoZero(t, fmt.Sprintf("%s[%d]", path, i), value.Index(i))
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			checkNoZero(t, fmt.Sprintf("%s[%v]", path, key), value.MapIndex(key))
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() && field.Tag.Get("json") != "-" {
				checkNoZero(t, path+"."+field.Name, value.Field(i))
			}
		}
	}
}

func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	out, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func goldenMessage() *wire.Message {
	return &wire.Message{Kind: wire.Message_PING, From: "node-a", Start: 1700000000000001, Seq: 42, About: "node-b",
		At: "127.0.0.1:7000", Hash: 0x0123456789abcdef, Again: true, Updates: []*wire.Update{{Name: "node-b",
			Start: 1700000000000002, Incarnation: 7, State: 1, Address: "127.0.0.2:7000", Zone: "zone-b", Build: "5fa7498", Ready: true,
			Bad: []uint32{0xdeadbeef}, By: "node-c"}}}
}

// goldenLoads returns loads of hosts. They include one that is rounded up to the next step, and one above the largest
// load that can be sent.
func goldenLoads() []peers.HostLoad {
	return []peers.HostLoad{{Host: 0x01020304, Load: 0.5}, {Host: 0xdeadbeef, Load: 0.51}, {Host: 7, Load: 9}}
}

func goldenLoadMessage() *wire.Message {
	return &wire.Message{Kind: wire.Message_WORDS, From: "node-a", Start: 1700000000000001, Words: peers.Append(nil, goldenLoads())}
}

// Guards against changes to the format of datagrams: a version byte and a sealed message. The files contain the first and
// the second datagram of one sender, because each datagram contains the sender's count of its datagrams.
func TestGoldenDatagrams(t *testing.T) {
	current, old := decodeHex(t, goldenKey), decodeHex(t, goldenOldKey)
	sender := newAuthenticator(Config{Fleet: "lima", keys: [][]byte{current, old}})
	receiver := newAuthenticator(Config{Fleet: "lima", keys: [][]byte{old, current}})
	for _, c := range []struct {
		name    string
		message *wire.Message
	}{{"datagram-1-ping.bin", goldenMessage()}, {"datagram-2-load.bin", goldenLoadMessage()}} {
		t.Run(c.name, func(t *testing.T) {
			text, err := sender.sign(c.message)
			if err != nil {
				t.Fatal(err)
			}
			checkGolden(t, c.name, text)
			got, reason := receiver.verify(readGolden(t, c.name))
			if reason != accepted || !proto.Equal(got, c.message) {
				t.Errorf("verified message %v (%q), want %v", got, reason, c.message)
			}
			if _, reason := receiver.verify(readGolden(t, c.name)); reason != replayed {
				t.Errorf("same datagram again: rejection reason %q, want %q", reason, replayed)
			}
		})
	}
}

// Guards against changes to the reasons of rejections, which operators' tools read from the members page.
func TestGoldenRejectionReasons(t *testing.T) {
	want := []string{"", "garbage", "another version", "another fleet", "no right MAC", "seen before", "too many senders"}
	for i, got := range []rejection{accepted, malformed, unknownVersion, otherFleet, invalidMAC, replayed, tooManySenders} {
		if string(got) != want[i] {
			t.Errorf("rejection reason %q, want %q", got, want[i])
		}
	}
}

// Load gossip that is sent by version 5fa7498 must be accepted, decoded to the same loads and counted. Loads are sent in steps
// of 1/64, up to 255/64.
func TestGoldenLoadGossipIsReceived(t *testing.T) {
	file, err := Parse("fleet.toml", readGolden(t, "fleet.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var received []peers.HostLoad
	node := New(file, view.Options{Name: "node-b", Log: zerolog.Nop(),
		GossipReceived: func(loads []peers.HostLoad) { received = loads }})
	node.receiveDatagram(readGolden(t, "datagram-2-load.bin"), netip.AddrPort{})
	want := []peers.HostLoad{{Host: 0x01020304, Load: 0.5}, {Host: 0xdeadbeef, Load: 0.515625}, {Host: 7, Load: 3.984375}}
	if !reflect.DeepEqual(received, want) {
		t.Errorf("received %v, want %v", received, want)
	}
	traffic := []view.Traffic{{Kind: "words", ReceivedMessages: 1, ReceivedBytes: len(readGolden(t, "datagram-2-load.bin"))}}
	if got := node.View().Traffic; !reflect.DeepEqual(got, traffic) {
		t.Errorf("traffic %+v, want %+v", got, traffic)
	}
}

// Guards against changes to the names of the message kinds, which operators' tools read from the members page.
func TestGoldenTrafficKinds(t *testing.T) {
	var counts trafficCounts
	for kind := range messageKinds {
		counts.sent(wire.Message_Kind(kind), 100)
	}
	var got []string
	for _, c := range counts.nonZero() {
		got = append(got, c.Kind)
	}
	if want := []string{"none", "ping", "ack", "ping_req", "nack", "state", "join", "words"}; !reflect.DeepEqual(got, want) {
		t.Errorf("message kinds %v, want %v", got, want)
	}
}

// Guards against changes to introductions: the messages that together contain an update about each member. Each message
// contains as many updates as fit.
func TestGoldenIntroductions(t *testing.T) {
	var all []membership.Member
	for i := range 5 {
		all = append(all, membership.Member{Name: fmt.Sprintf("node-%c", 'a'+i), Start: 1700000000000001 + uint64(i),
			Incarnation: uint32(1 + i), State: membership.Suspect, Address: fmt.Sprintf("127.0.0.%d:7000", 1+i),
			Zone: fmt.Sprintf("zone-%c", 'a'+i), Build: "5fa7498", Ready: true})
	}
	sender := newAuthenticator(Config{Fleet: "lima", keys: [][]byte{decodeHex(t, goldenKey)}})
	var out bytes.Buffer
	for _, message := range introductions(all, 1700000000000009) {
		text, err := sender.sign(message)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%x\n", text)
	}
	checkGolden(t, "introductions.txt", out.Bytes())
}

func goldenConfig(t *testing.T) Config {
	t.Helper()
	return Config{Fleet: "lima", Address: "127.0.0.1:7000", Join: []string{"127.0.0.2:7000", "127.0.0.1:7000"}, Key: goldenKey,
		OldKey: goldenOldKey, Zone: "zone-a", Period: 0.5,
		Via:    map[string]string{"127.0.0.2:7000": "127.0.0.9:1234", "127.0.1.1:7100": "127.0.0.9:1235"},
		Region: "west",
		Control: []ControlServer{{Name: "c1", Address: "127.0.1.1:7100", Region: "west"},
			{Name: "c2", Address: "127.0.1.2:7100", Region: "east"}},
		keys: [][]byte{decodeHex(t, goldenKey), decodeHex(t, goldenOldKey)}}
}

// Guards against settings of a fleet file that are lost or renamed: a file with every setting must decode to these values,
// and the values must encode to the same bytes.
func TestGoldenFleetFile(t *testing.T) {
	want := goldenConfig(t)
	written, err := toml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "fleet.toml", written)
	got, err := Read(filepath.Join("testdata", "fleet.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwant\n%+v", got, want)
	}
	checkNoZero(t, "Config", reflect.ValueOf(got))
	if written, err = toml.Marshal(got); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "fleet.toml", written)
	servers := []configfeed.ServerAddress{{Name: "c1", Address: "127.0.1.1:7100", Region: "west"},
		{Name: "c2", Address: "127.0.1.2:7100", Region: "east"}}
	if !reflect.DeepEqual(got.servers(), servers) {
		t.Errorf("control servers %+v, want %+v", got.servers(), servers)
	}
}

// Guards against a change of the default period, for a fleet file that does not set it.
func TestGoldenFleetFileDefaults(t *testing.T) {
	got, err := Parse("fleet.toml", []byte("fleet = \"lima\"\naddress = \"127.0.0.1:7000\"\njoin = [\"127.0.0.2:7000\"]\nkey = \""+
		goldenKey+"\"\n"))
	want := Config{Fleet: "lima", Address: "127.0.0.1:7000", Join: []string{"127.0.0.2:7000"}, Key: goldenKey, Period: 1,
		keys: [][]byte{decodeHex(t, goldenKey)}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwant\n%+v\n(%v)", got, want, err)
	}
}

// Guards against a successor process that loses the revision in force: a process of version 5fa7498 may hand the revision
// over in the JSON form of the golden file, and the successor must continue from it. It must not follow the control servers
// yet, because its predecessor still does.
func TestGoldenRevisionOfAPredecessor(t *testing.T) {
	entries := []configfeed.Entry{{Key: "limits.sockets", Value: "900"}, {Key: "nodes", Value: "30"}}
	state := configfeed.State{Version: configfeed.Version{Epoch: 2, Revision: 41}, Entries: entries, Digest: 0xf6014f494c73b015}
	revision, err := decodeRevision(state)
	if err != nil {
		t.Fatal(err)
	}
	written, err := json.Marshal(revision)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "revision.json", written)
	var inherited live.Revision
	if err := json.Unmarshal(readGolden(t, "revision.json"), &inherited); err != nil {
		t.Fatal(err)
	}
	now := func() float64 { return 1700000000.5 }
	follower := newConfigFollower(goldenConfig(t), view.Options{Successor: true, InForce: inherited}, now)
	if !reflect.DeepEqual(follower.state, state) || follower.inForceSince != 1700000000.5 || follower.shouldFollow() {
		t.Errorf("state %+v, in force since %v, follows %v; want %+v, 1700000000.5, false", follower.state,
			follower.inForceSince, follower.shouldFollow(), state)
	}
}
