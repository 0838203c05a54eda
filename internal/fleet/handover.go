package fleet

import "gorseledge/internal/membership"

// SetHandedOver records that another process of this node is the member now, or that this process is the member again. A
// process that is not the member neither sends nor receives messages, and does not follow the control servers.
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

// Follow allows this process to follow the control servers. It is called when the predecessor of this process no longer
// does.
func (f *Fleet) Follow() {
	if f.follower != nil {
		f.follower.setPredecessorDone()
	}
}

// Leave announces to other members that this node leaves the fleet, unless another process of the node is the member.
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
