package fleet

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership"
	"gorseledge/internal/membership/wire"
	"gorseledge/internal/peers"
)

const (
	// introducer is the sender's name in introductions. No node has it.
	introducer = "introducer"
	// updateOverheadBytes is the most that protobuf adds to an encoded update in a message: the field's tag and length.
	updateOverheadBytes = 3
)

// errIntroductionTooLong is returned for an introduction that does not fit into a datagram.
var errIntroductionTooLong = errors.New("the introduction does not fit into a datagram")

// Introduce sends updates about all given members to the members at the addresses in to, in the messages with which
// members exchange their state. A large test fleet knows itself in seconds by it, where its own exchange takes many
// periods. Each receiver gets one message a pause, so that its socket's buffer does not overflow; lost messages are made
// up for by the fleet's own exchange. Of the config it reads Fleet, Key and Address, from which the messages come.
func Introduce(ctx context.Context, c Config, all []membership.Member, to []string, pause time.Duration) error {
	key, err := hex.DecodeString(c.Key)
	if err != nil {
		return fmt.Errorf("introduce members: decode the fleet's key: %w", err)
	}
	c.keys = [][]byte{key}
	receivers, err := parseAddresses(to)
	if err != nil {
		return fmt.Errorf("introduce members: %w", err)
	}
	socket, err := peers.Open(ctx, c.Address)
	if err != nil {
		return fmt.Errorf("introduce members: %w", err)
	}
	defer socket.Close()
	authenticator := newAuthenticator(c)
	for _, message := range introductions(all, uint64(time.Now().UnixMicro())) {
		datagram, err := authenticator.sign(message)
		if err == nil && len(datagram) > maxDatagramBytes {
			err = errIntroductionTooLong
		}
		if err != nil {
			return fmt.Errorf("introduce members: %w", err)
		}
		next := time.Now().Add(pause)
		for _, receiver := range receivers { // one call each, as the time limit of a call is for all its receivers
			socket.Send([][]byte{datagram}, receiver)
		}
		sleep(ctx, time.Until(next))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// parseAddresses parses the addresses of nodes.
func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		address, err := peers.ParseAddress(text)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// introductions returns messages that together have an update about each member, as many in each message as fit. Start is
// that of the sender, in Unix microseconds.
func introductions(all []membership.Member, start uint64) []*wire.Message {
	var messages []*wire.Message
	var message *wire.Message
	size := maxMessageBytes
	for _, m := range all {
		update := m.Update()
		updateSize := proto.Size(update) + updateOverheadBytes
		if size+updateSize > maxMessageBytes {
			message = &wire.Message{Kind: wire.Message_STATE, From: introducer, Start: start}
			messages = append(messages, message)
			size = proto.Size(message)
		}
		message.Updates = append(message.Updates, update)
		size += updateSize
	}
	return messages
}
