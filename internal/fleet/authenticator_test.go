package fleet

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

// signedPing returns a datagram with a ping, signed by a sender.
func signedPing(t *testing.T, sender *authenticator) []byte {
	t.Helper()
	datagram, err := sender.sign(&wire.Message{Kind: wire.Message_PING, From: "n1", Start: 5, About: "n2"})
	if err != nil {
		t.Fatal(err)
	}
	return datagram
}

// checkVerified checks that the receiver rejects a datagram for the given reason, or accepts it if that is accepted.
func checkVerified(t *testing.T, receiver *authenticator, datagram []byte, want rejection) {
	t.Helper()
	if _, reason := receiver.verify(datagram); reason != want {
		t.Errorf("%q, want %q", reason, want)
	}
}

// Guards against forged, foreign and replayed datagrams that would change the membership state.
func TestVerifyAcceptsOnlyNewDatagramsOfTheFleet(t *testing.T) {
	sender := newTestAuthenticator(t, "lima", testKey)
	receiver := newTestAuthenticator(t, "lima", testKey)
	first := signedPing(t, sender)
	if message, reason := receiver.verify(first); reason != accepted || message.About != "n2" {
		t.Fatalf("%v, %v", message, reason)
	}
	changed := bytes.Clone(signedPing(t, sender))
	changed[len(changed)-20] ^= 1
	later := bytes.Clone(signedPing(t, sender))
	later[0] = datagramVersion + 1
	for _, c := range []struct {
		name     string
		datagram []byte
		want     rejection
	}{
		{"replay of the first datagram", first, replayed},
		{"empty", nil, malformed},
		{"a changed byte", changed, invalidMAC},
		{"a later version", later, unknownVersion},
		{"invalid protobuf", []byte{datagramVersion, 255, 255, 3, 1}, malformed},
		{"too long", make([]byte, 300), malformed},
		{"another fleet", signedPing(t, newTestAuthenticator(t, "cusco", testKey)), otherFleet},
		{"another key", signedPing(t, newTestAuthenticator(t, "lima", "another key of it")), invalidMAC},
	} {
		t.Run(c.name, func(t *testing.T) { checkVerified(t, receiver, c.datagram, c.want) })
	}
}

// Guards against nodes that reject each other while operators replace the fleet's key node by node.
func TestOldKeyIsAcceptedDuringKeyChange(t *testing.T) {
	sender := newTestAuthenticator(t, "lima", testKey)
	receiver := newTestAuthenticator(t, "lima", "a newer key of it", testKey)
	checkVerified(t, receiver, signedPing(t, sender), accepted)
}

// Guards against the loss of datagrams that the network reorders, and against replays of those that were reordered.
func TestReorderedDatagramIsAcceptedWithinTheWindow(t *testing.T) {
	sender := newTestAuthenticator(t, "lima", testKey)
	receiver := newTestAuthenticator(t, "lima", testKey)
	var datagrams [][]byte
	for range replayWindowSize + 6 {
		datagrams = append(datagrams, signedPing(t, sender))
	}
	for late := range datagrams { // the datagrams arrive in reverse order
		want := accepted
		if late >= replayWindowSize {
			want = replayed
		}
		if _, reason := receiver.verify(datagrams[len(datagrams)-1-late]); reason != want {
			t.Errorf("datagram that is %d counts behind the latest: %q, want %q", late, reason, want)
		}
	}
	for i, datagram := range datagrams {
		if _, reason := receiver.verify(datagram); reason != replayed {
			t.Fatalf("datagram %d was accepted twice", i)
		}
	}
}

// Guards against unbounded memory use when a member sends messages with a new name or start each time.
func TestReplayWindowsAreBounded(t *testing.T) {
	a := newTestAuthenticator(t, "lima", testKey)
	for i := range 2 * maxSenders {
		a.checkReplay("n"+fmt.Sprint(i), 1, 1)
		a.checkReplay("n0", uint64(2+i), 1)
	}
	if len(a.windows) > maxSenders || len(a.windows["n0"]) > processesPerName {
		t.Errorf("replay windows for %d names and %d processes of one name, want at most %d and %d",
			len(a.windows), len(a.windows["n0"]), maxSenders, processesPerName)
	}
}

// Guards against replays of datagrams of a former process of a node, whose replay window is no longer stored.
func TestMessagesOfAnOlderProcessThanTheLatestTwoAreReplays(t *testing.T) {
	a := newTestAuthenticator(t, "lima", testKey)
	for _, c := range []struct {
		start uint64
		want  rejection
	}{{5, accepted}, {7, accepted}, {6, accepted}, {5, replayed}, {7, replayed}, {8, accepted}, {6, replayed}} {
		if got := a.checkReplay("n1", c.start, 1); got != c.want {
			t.Errorf("start %d: %q, want %q", c.start, got, c.want)
		}
	}
}

// Guards against a DatagramBytes that differs from what is sent. The second name makes the body longer than 127 bytes, so
// that its length is encoded in two bytes.
func TestDatagramBytesIsTheSizeOfASignedMessage(t *testing.T) {
	sender := newTestAuthenticator(t, "lima", testKey)
	sender.count = 1 << 13
	for _, about := range []string{"n2", strings.Repeat("n", 150)} {
		message := &wire.Message{Kind: wire.Message_PING, From: "n1", Start: 5, About: about}
		datagram, err := sender.sign(message)
		if err != nil {
			t.Fatal(err)
		}
		if got := DatagramBytes(proto.Size(message)); got != len(datagram) {
			t.Errorf("DatagramBytes returned %d, but the datagram has %d bytes", got, len(datagram))
		}
	}
}

// Guards against datagrams from the network that make verify panic or return a message without a sender.
func FuzzVerify(f *testing.F) {
	c := Config{Fleet: "lima", keys: [][]byte{[]byte(testKey)}}
	datagram, err := newAuthenticator(c).sign(&wire.Message{From: "n1"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Add([]byte{1, 10, 4, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, reason := newAuthenticator(c).verify(datagram)
		if reason == accepted && message.From == "" {
			t.Fatal("a message without a sender was accepted")
		}
	})
}
