package fleet

import (
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
)

// LiveCount returns the number of members that are alive or suspect at this node, including itself.
func (f *Fleet) LiveCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.LiveCount()
}

// Digest returns a hash of the membership state. Two nodes return the same hash if they agree on the start, the incarnation
// and the liveness of the same members.
func (f *Fleet) Digest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Digest()
}

// PendingUpdates returns the number of updates that this node still has to gossip. It is 0 after a while without changes.
func (f *Fleet) PendingUpdates() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.PendingUpdates()
}

// Member returns the member with a name and whether this node knows it.
func (f *Fleet) Member(name string) (membership.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Member(name)
}

// Self returns this node as it announces itself.
func (f *Fleet) Self() membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Self()
}

// Traffic returns the numbers of messages and bytes that this node has exchanged with other members since its start, for
// each kind of message that occurred.
func (f *Fleet) Traffic() []view.Traffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.traffic.nonZero()
}

// Config returns the status of the distributed configuration at this node, or nil if it follows no control servers.
func (f *Fleet) Config() *view.Config {
	if f.follower == nil {
		return nil
	}
	return f.follower.view()
}

// View returns this node's current view of its fleet.
func (f *Fleet) View() view.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.core.All()
	names := map[uint32]string{}
	for _, m := range all {
		names[membership.NameHash(m.Name)] = m.Name
	}
	v := view.View{
		Fleet:       f.config.Fleet,
		Self:        f.core.Self().Name,
		LiveCount:   f.core.LiveCount(),
		HealthScore: f.core.HealthScore(),
		Nodes:       f.reportedNodes,
		Traffic:     f.traffic.nonZero(),
		Rejected:    map[string]int{},
		Config:      f.Config(),
	}
	for _, m := range all {
		v.Members = append(v.Members, memberView(m, names))
	}
	for reason, count := range f.rejected {
		v.Rejected[string(reason)] = count
	}
	return v
}

// memberView converts a member for the view. The map names has the name of each known member by its hash; bad links to
// members that are not known are omitted.
func memberView(m membership.Member, names map[uint32]string) view.Member {
	seen := view.Member{
		Name:        m.Name,
		State:       m.State.String(),
		Since:       m.Since,
		Start:       m.Start,
		Incarnation: m.Incarnation,
		Address:     m.Address,
		Zone:        m.Zone,
		Build:       m.Build,
		Ready:       m.Ready,
	}
	for _, hash := range m.BadLinks {
		if name, known := names[hash]; known {
			seen.BadLinks = append(seen.BadLinks, name)
		}
	}
	return seen
}
