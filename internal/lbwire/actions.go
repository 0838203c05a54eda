package lbwire

import (
	"gorseledge/internal/peers"
	"gorseledge/placement"
)

// newAction returns the record of an action with its code and instance id. The other fields are zero.
func newAction(code actionCode, id uint16) [actionBytes]byte {
	var record [actionBytes]byte
	record[0] = byte(code)
	byteOrder.PutUint16(record[1:], id)
	return record
}

// appendDecision appends the action for a decision of an instance to the reply. Load gossip is collected and sent at the end
// of the batch.
func (s *session) appendDecision(id uint16, in *instance, d placement.Decision) {
	if d.Action == placement.GossipLoad {
		in.gossip = append(in.gossip, peers.HostLoad{Host: in.hostIDs[d.Server], Load: d.Load})
		return
	}
	record := newAction(actionCodes[d.Action], id)
	switch d.Action {
	case placement.Connect:
		byteOrder.PutUint32(record[3:], in.flowIDs[d.Flow])
		byteOrder.PutUint32(record[7:], in.hostIDs[d.Server])
		byteOrder.PutUint32(record[11:], microseconds(d.Seconds))
	case placement.Reject:
		byteOrder.PutUint32(record[3:], in.flowIDs[d.Flow])
		if d.Seconds > 0 {
			byteOrder.PutUint32(record[7:], microseconds(d.Seconds))
		}
	case placement.Abort, placement.Migrate:
		byteOrder.PutUint32(record[3:], in.flowIDs[d.Flow])
	case placement.Wake:
		byteOrder.PutUint32(record[3:], microseconds(d.Seconds))
	case placement.CheckHealth:
		byteOrder.PutUint32(record[3:], in.hostIDs[d.Server])
	case placement.Log:
		byteOrder.PutUint32(record[3:], uint32(len(s.tail)))
		byteOrder.PutUint32(record[7:], uint32(len(d.Message)))
		s.tail = append(s.tail, d.Message...)
	case placement.WatchEndpoints:
		record[3] = watchWithChanges
	}
	s.actions = append(s.actions, record[:]...)
}

// appendGossip appends actions that send an instance's load gossip of this batch to every other instance, in as few messages
// as possible.
func (s *session) appendGossip(id uint16, in *instance) {
	for len(in.gossip) > 0 {
		record := newAction(actionGossip, id)
		byteOrder.PutUint16(record[3:], allInstances)
		from := len(s.tail)
		s.tail = peers.Append(s.tail, in.gossip)
		byteOrder.PutUint32(record[5:], uint32(from))
		byteOrder.PutUint32(record[9:], uint32(len(s.tail)-from))
		s.actions = append(s.actions, record[:]...)
		in.gossip = in.gossip[min(len(in.gossip), peers.MaxLoads):]
	}
}
