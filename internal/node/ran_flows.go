package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

// RanFlow is a flow that may have run at a host, and whose service type is not idempotent. Clients choose a new id for every
// connection, so a flow with the id of a RanFlow may be the same request once more, and is not sent to any host. The JSON names
// are part of the handover protocol between versions.
type RanFlow struct {
	ID        string `json:"ID"`  // id of the flow, from its opening line
	ClientKey uint64 `json:"Key"` // client key of the flow

	NeverRan bool `json:"Never,omitempty"` // none of its attempts has run after all, so that its client may use the id again
}

// isIdempotent reports whether flows of a service type may run any number of times.
func (n *Node) isIdempotent(serviceType int) bool {
	return n.balancer.ServiceTypes[serviceType].Idempotency == placement.Idempotent
}

// mayHaveRun reports whether a flow with the id of an opening line may have run already, or may run yet, although its service
// type is not idempotent. The packets of an open flow that changed its route carry the flow's own id and client key.
func (n *Node) mayHaveRun(opening line.Opening, serviceType int) bool {
	if n.isIdempotent(serviceType) || opening.RestoredHost != "" {
		return false
	}
	ids := &n.flows.ids
	key, ran := ids.ran.Get(line.Hash([]byte(opening.ID)))
	if f := ids.open[opening.ID]; f != nil {
		key, ran = f.opening.ClientKey, true
	}
	if inherited := ids.inherited[opening.ID]; inherited != nil {
		key, ran = inherited.ClientKey, true
	}
	return ran && !(opening.MidFlow && key == opening.ClientKey)
}

// lineBeingSent notes that a flow may run from now on, as its opening line is being written to a host. The other processes of
// an upgrade are notified, as the flow's client may leave and come again at any of them.
func (n *Node) lineBeingSent(f *flow) {
	if n.isIdempotent(f.serviceType) || f.restored {
		return
	}
	ran := RanFlow{ID: f.opening.ID, ClientKey: f.opening.ClientKey}
	if n.flows.ids.rememberRan(ran) {
		f.rememberedRan = true
		n.notifyOfRanFlow(ran, AnyPeer)
	}
}

// forgetIfNeverRan handles the end of a flow: if none of its attempts can have run, its client may use the id once more.
func (n *Node) forgetIfNeverRan(f *flow) {
	if !f.rememberedRan || f.mayHaveRun || f.established {
		return
	}
	ran := RanFlow{ID: f.opening.ID, ClientKey: f.opening.ClientKey, NeverRan: true}
	n.flows.ids.forgetRan(ran)
	n.notifyOfRanFlow(ran, AnyPeer)
}

// peerRanFlow handles that a flow may have run, or has not run after all, at another process of an upgrade. It passes that on to
// the process on the other side, if there is one.
func (n *Node) peerRanFlow(ran RanFlow, from Peer) {
	if ran.NeverRan {
		n.flows.ids.forgetRan(ran)
		n.notifyOfRanFlow(ran, from.opposite())
		return
	}
	if n.flows.ids.rememberRan(ran) {
		n.notifyOfRanFlow(ran, from.opposite())
	}
}

// notifyOfRanFlow notifies another process of an upgrade of a flow that may have run.
func (n *Node) notifyOfRanFlow(ran RanFlow, notify Peer) {
	if n.upgrade.successorNotified || n.upgrade.hasPredecessor {
		n.emit(UpdatePeerProcess{HandoverUpdate{RanFlow: &ran}, notify})
	}
}

// rememberRan stores a flow that may have run. It returns false if that is known already.
func (ids *flowIDs) rememberRan(ran RanFlow) bool {
	hash := line.Hash([]byte(ran.ID))
	if _, known := ids.ran.Get(hash); known {
		return false
	}
	ids.ran.Set(hash, ran.ClientKey)
	return true
}

// forgetRan forgets a flow that has not run after all.
func (ids *flowIDs) forgetRan(ran RanFlow) { ids.ran.Delete(line.Hash([]byte(ran.ID))) }
