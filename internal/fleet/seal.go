package fleet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

const (
	datagramVersion  = 1  // first byte of a message: nodes of two versions ignore each other
	fleetHashBytes   = 4  // bytes of a hash of the fleet's id
	macBytes         = 16 // bytes of HMAC-SHA256 that go along
	maxDatagramBytes = 256
	maxMessageBytes  = 208 // bytes of a message itself; the rest proves that it is the fleet's and new
	replayWindowSize = 64  // messages that may come late or out of order
	maxSenders       = 1 << 15
)

// authenticator authenticates messages and verifies them. A keyed MAC guards against strangers, the fleet's id against messages of
// other fleets, and a growing count against replays.
type authenticator struct {
	fleet   []byte
	keys    [][]byte
	count   uint64
	windows map[string][]replayWindow // by name, of the newest two processes
}

// replayWindow is the replay window of one process: the highest count seen and a bit for each count before it.
type replayWindow struct {
	start   uint64
	highest uint64
	bits    uint64
}

func newAuthenticator(c Config) *authenticator {
	sum := sha256.Sum256([]byte(c.Fleet))
	return &authenticator{fleet: sum[:fleetHashBytes], keys: c.keys, windows: map[string][]replayWindow{}}
}

// mac returns the MAC over the fleet, the count and the body of a datagram.
func mac(key []byte, s *wire.Sealed) []byte {
	h := hmac.New(sha256.New, key)
	var count [8]byte
	binary.BigEndian.PutUint64(count[:], s.Count)
	h.Write(s.Fleet)
	h.Write(count[:])
	h.Write(s.Body)
	return h.Sum(nil)[:macBytes]
}

// sign returns the authenticated datagram of a message.
func (s *authenticator) sign(m *wire.Message) ([]byte, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	s.count++
	sealed := &wire.Sealed{Fleet: s.fleet, Count: s.count, Body: body}
	sealed.Mac = mac(s.keys[0], sealed)
	return proto.MarshalOptions{}.MarshalAppend([]byte{datagramVersion}, sealed)
}

// DatagramBytes gives the size of the datagram of a message of so many bytes, when a sender has sent some thousands.
func DatagramBytes(message int) int {
	const count = 1 << 13
	sealed := &wire.Sealed{Fleet: make([]byte, fleetHashBytes), Count: count, Body: make([]byte, message), Mac: make([]byte, macBytes)}
	return 1 + proto.Size(sealed)
}

// rejection says why a datagram is not taken.
type rejection string

const (
	accepted       rejection = ""
	malformed      rejection = "garbage"
	unknownVersion rejection = "another version"
	otherFleet     rejection = "another fleet"
	invalidMAC     rejection = "no right MAC"
	replayed       rejection = "seen before"
	tooManySenders rejection = "too many senders"
)

// verify verifies a datagram and returns its message, or the reason for which it is rejected.
func (s *authenticator) verify(text []byte) (*wire.Message, rejection) {
	var sealed wire.Sealed
	switch {
	case len(text) < 2 || len(text) > maxDatagramBytes:
		return nil, malformed
	case text[0] != datagramVersion:
		return nil, unknownVersion
	case proto.Unmarshal(text[1:], &sealed) != nil:
		return nil, malformed
	case string(sealed.Fleet) != string(s.fleet):
		return nil, otherFleet
	}
	proven := false
	for _, key := range s.keys {
		proven = proven || hmac.Equal(sealed.Mac, mac(key, &sealed))
	}
	if !proven {
		return nil, invalidMAC
	}
	m := &wire.Message{}
	if proto.Unmarshal(sealed.Body, m) != nil || m.From == "" {
		return nil, malformed
	}
	return m, s.checkReplay(m.From, m.Start, sealed.Count)
}

// checkReplay records the count of a message. A count that was seen, or is older than the window, is a replay. The two latest
// processes of each name are kept: the older one may still run, until it learns that it is replaced.
func (s *authenticator) checkReplay(name string, start, count uint64) rejection {
	of := s.windows[name]
	at := slices.IndexFunc(of, func(c replayWindow) bool { return c.start == start })
	switch {
	case at < 0 && len(of) == 0 && len(s.windows) >= maxSenders:
		return tooManySenders
	case at < 0 && len(of) == 2 && start < min(of[0].start, of[1].start):
		return replayed
	case at < 0:
		if len(of) == 2 {
			of = slices.DeleteFunc(of, func(c replayWindow) bool { return c.start == min(of[0].start, of[1].start) })
		}
		s.windows[name] = append(of, replayWindow{start, count, 1})
		return accepted
	}
	c := &of[at]
	if count > c.highest {
		c.bits = c.bits<<min(count-c.highest, 64) | 1
		c.highest = count
		return accepted
	}
	age := c.highest - count
	if age >= replayWindowSize || c.bits&(1<<age) != 0 {
		return replayed
	}
	c.bits |= 1 << age
	return accepted
}
