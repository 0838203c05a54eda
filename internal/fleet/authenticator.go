package fleet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

const (
	datagramVersion  = 1   // first byte of a datagram; datagrams with another version are rejected
	fleetHashBytes   = 4   // number of bytes of the hash of the fleet's id that are sent
	macBytes         = 16  // number of bytes of the HMAC-SHA256 that are sent
	maxDatagramBytes = 256 // small enough that no network path fragments the packet
	maxMessageBytes  = 208 // limit of an encoded message; the rest of the datagram authenticates it
)

// rejection is the reason for which a datagram is rejected. Its text is shown on the members page of the admin address.
type rejection string

// The reasons for a rejection; accepted means that the datagram is not rejected.
const (
	accepted       rejection = ""
	malformed      rejection = "garbage"
	unknownVersion rejection = "another version"
	otherFleet     rejection = "another fleet"
	invalidMAC     rejection = "no right MAC"
	replayed       rejection = "seen before"
	tooManySenders rejection = "too many senders"
)

// authenticator signs outgoing messages and verifies incoming ones. The MAC under the fleet's key excludes senders without
// the key, the hash of the fleet's id excludes other fleets with the same key, and a count that increases with each
// datagram of a sender detects replays. It is not safe for concurrent use.
type authenticator struct {
	fleet   []byte                    // hash of the fleet's id
	keys    [][]byte                  // the first key signs; all keys verify
	count   uint64                    // number of datagrams signed so far
	windows map[string][]replayWindow // replay windows of the latest processes of each sender, by its name
}

// newAuthenticator returns the authenticator of a node that has signed and verified nothing yet.
func newAuthenticator(c Config) *authenticator {
	sum := sha256.Sum256([]byte(c.Fleet))
	return &authenticator{fleet: sum[:fleetHashBytes], keys: c.keys, windows: map[string][]replayWindow{}}
}

// mac returns the MAC over the fleet, the count and the body of a sealed message.
func mac(key []byte, sealed *wire.Sealed) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write(sealed.Fleet)
	hash.Write(binary.BigEndian.AppendUint64(nil, sealed.Count))
	hash.Write(sealed.Body)
	return hash.Sum(nil)[:macBytes]
}

// sign returns the authenticated datagram for a message. The datagram may be longer than maxDatagramBytes.
func (a *authenticator) sign(message *wire.Message) ([]byte, error) {
	body, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode the message: %w", err)
	}
	a.count++
	sealed := &wire.Sealed{Fleet: a.fleet, Count: a.count, Body: body}
	sealed.Mac = mac(a.keys[0], sealed)
	return proto.MarshalOptions{}.MarshalAppend([]byte{datagramVersion}, sealed)
}

// DatagramBytes returns the size of the datagram for an encoded message of the given number of bytes. The size grows with
// the sender's count; DatagramBytes assumes that of a sender with 8192 datagrams.
func DatagramBytes(message int) int {
	const count = 1 << 13
	sealed := &wire.Sealed{
		Fleet: make([]byte, fleetHashBytes),
		Count: count,
		Body:  make([]byte, message),
		Mac:   make([]byte, macBytes),
	}
	return 1 + proto.Size(sealed)
}

// verify returns the message in a datagram, or the reason for which the datagram is rejected.
func (a *authenticator) verify(datagram []byte) (*wire.Message, rejection) {
	if len(datagram) < 2 || len(datagram) > maxDatagramBytes {
		return nil, malformed
	}
	if datagram[0] != datagramVersion {
		return nil, unknownVersion
	}
	var sealed wire.Sealed
	if proto.Unmarshal(datagram[1:], &sealed) != nil {
		return nil, malformed
	}
	if string(sealed.Fleet) != string(a.fleet) {
		return nil, otherFleet
	}
	if !a.hasValidMAC(&sealed) {
		return nil, invalidMAC
	}
	message := &wire.Message{}
	if proto.Unmarshal(sealed.Body, message) != nil || message.From == "" {
		return nil, malformed
	}
	return message, a.checkReplay(message.From, message.Start, sealed.Count)
}

// hasValidMAC reports whether the MAC of a sealed message is valid under one of the keys.
func (a *authenticator) hasValidMAC(sealed *wire.Sealed) bool {
	for _, key := range a.keys {
		if hmac.Equal(sealed.Mac, mac(key, sealed)) {
			return true
		}
	}
	return false
}
