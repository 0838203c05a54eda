package fleet

import "gorseledge/internal/membership"

// SetHandedOver hands the membership over to another process of this node, or takes it back. This process then neither
// sends nor receives messages, and does not follow the control servers.
func (f *Fleet) SetHandedOver(handedOver bool) {
	f.mu.Lock()
	f.handedOver = handedOver
	if handedOver {
		f.closeSocket()
	}
	f.mu.Unlock()
	f.wake.set()
	if f.follower != nil {
		f.follower.setHandedOver(handedOver)
	}
}

// Follow follows the control servers from now on, as the predecessor of this process no longer does.
func (f *Fleet) Follow() {
	if f.follower != nil {
		f.follower.releaseByPredecessor()
	}
}

// Leave announces to the other members that this node leaves, unless another process of it is the member.
func (f *Fleet) Leave() {
	f.mu.Lock()
	inactive := f.handedOver || f.left
	f.mu.Unlock()
	if inactive {
		return
	}
	f.apply(func(now float64) []membership.Effect { return f.core.Leave(now) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left = true
	f.closeSocket()
}
