package fleet

import (
	"context"
	"encoding/hex"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership"
	"gorseledge/internal/membership/wire"
	"gorseledge/internal/peers"
)

// introducer is the name under which members are introduced; it is nobody's.
const introducer = "introducer"

// Introduce tells the members at the addresses of to of all members given, by messages of the fleet as they
// exchange their state. A large test fleet knows itself in seconds by it, where its own exchange takes many periods.
// Each receiver gets a message a pause at most, so that no socket's buffer overflows; what is lost comes with the
// fleet's own exchange. Fleet and Key of the config are read, and the messages come from its Address.
func Introduce(ctx context.Context, c Config, all []membership.Member, to []string, pause time.Duration) error {
	key, err := hex.DecodeString(c.Key)
	if err != nil {
		return err
	}
	c.keys = [][]byte{key}
	socket, err := peers.Open(ctx, c.Address)
	if err != nil {
		return err
	}
	defer socket.Close()
	closer := newAuthenticator(c)
	start := uint64(time.Now().UnixMicro())
	for _, message := range introductions(all, start) {
		text, err := closer.sign(message)
		if err != nil || len(text) > maxDatagramBytes {
			return errors.Join(err, errors.New("an introduction does not fit"))
		}
		began := time.Now()
		for _, receiver := range to {
			at, err := peers.ParseAddress(receiver)
			if err != nil {
				return err
			}
			socket.Send([][]byte{text}, at)
		}
		select {
		case <-time.After(time.Until(began.Add(pause))):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// introductions gives messages that together name all members, as many in each as fit.
func introductions(all []membership.Member, start uint64) (out []*wire.Message) {
	var message *wire.Message
	size := maxMessageBytes
	for _, m := range all {
		u := &wire.Update{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, State: uint32(m.State), Address: m.Address,
			Zone: m.Zone, Build: m.Build, Ready: m.Ready}
		need := proto.Size(u) + 3
		if size+need > maxMessageBytes {
			message = &wire.Message{Kind: wire.Message_STATE, From: introducer, Start: start}
			out = append(out, message)
			size = proto.Size(message)
		}
		message.Updates = append(message.Updates, u)
		size += need
	}
	return out
}
