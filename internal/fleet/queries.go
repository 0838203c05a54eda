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

// Digest returns a hash of the membership state, which is the same at two nodes that know the same about the same members.
func (f *Fleet) Digest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Digest()
}

// PendingUpdates returns the number of updates that this node still gossips; 0 in a fleet at rest.
func (f *Fleet) PendingUpdates() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.PendingUpdates()
}

// Member returns what this node knows about a member; false where it does not know it.
func (f *Fleet) Member(name string) (membership.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Member(name)
}

// Self returns this member as it announces itself.
func (f *Fleet) Self() membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Self()
}

// Traffic returns counts of the messages that this node has sent to and received from other members since its start, by
// kind.
func (f *Fleet) Traffic() []view.Traffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.traffic.nonZero()
}

// Config returns what this node knows about the distributed configuration; nil where it follows no control servers.
func (f *Fleet) Config() *view.Config {
	if f.follower == nil {
		return nil
	}
	return f.follower.view()
}

// View returns what this node knows about its fleet now.
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

// memberView returns a member as others of the node see it. The names are those of all known members, by their hashes;
// bad links to members that are not known are left out.
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
