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
	// introducer is the sender's name in introductions. It must not be the name of a node.
	introducer = "introducer"
	// updateOverheadBytes is the maximum that protobuf adds to an encoded update in a message: the field's tag and length.
	updateOverheadBytes = 3
)

// errIntroductionTooLong is returned for an introduction that does not fit into a datagram.
var errIntroductionTooLong = errors.New("the introduction does not fit into a datagram")

// SeedMembers lets the members at the addresses in to learn of all given members. It sends them introductions: updates in
// the same messages that members use to exchange their state. The members of a large test fleet know each other in seconds
// this way, while their own exchange needs many periods. SeedMembers sends one message per pause to each receiver, so that
// its socket buffer does not overflow. The fleet's own exchange makes up for lost messages. SeedMembers uses only Fleet, Key
// and Address of the config; it sends from Address.
func SeedMembers(ctx context.Context, c Config, all []membership.Member, to []string, pause time.Duration) error {
	key, err := hex.DecodeString(c.Key)
	if err != nil {
		return fmt.Errorf("seed members: decode the fleet's key: %w", err)
	}
	c.keys = [][]byte{key}
	receivers, err := parseAddresses(to)
	if err != nil {
		return fmt.Errorf("seed members: %w", err)
	}
	socket, err := peers.Open(ctx, c.Address)
	if err != nil {
		return fmt.Errorf("seed members: %w", err)
	}
	defer socket.Close()
	authenticator := newAuthenticator(c)
	for _, message := range introductions(all, uint64(time.Now().UnixMicro())) {
		datagram, err := authenticator.sign(message)
		if err == nil && len(datagram) > maxDatagramBytes {
			err = errIntroductionTooLong
		}
		if err != nil {
			return fmt.Errorf("seed members: %w", err)
		}
		next := time.Now().Add(pause)
		for _, receiver := range receivers { // one call per receiver, because Send has one time limit for all its receivers
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

// introductions returns messages that together contain an update about each member. Each message contains as many updates
// as fit. The parameter start is the start of the sender in Unix microseconds.
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
