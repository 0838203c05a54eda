package membership

import "slices"

// announceBadLinks announces which members this node reaches only through others, if that has changed and the last
// announcement is at least badLinkPeriods ago.
func (m *Members) announceBadLinks() {
	if m.now < m.nextBadLinksAt {
		return
	}
	hashes := m.badLinks()
	if slices.Equal(hashes, m.self.BadLinks) {
		return
	}
	m.nextBadLinksAt = m.now + badLinkPeriods*m.config.Period
	m.self.BadLinks = hashes
	m.announceSelf()
}

// badLinks returns the sorted name hashes of the members that this node reaches only through others. If there are more
// than maxBadLinks, it returns the lowest of them.
func (m *Members) badLinks() []uint32 {
	var hashes []uint32
	for _, peer := range m.others {
		if peer.badLink && !peer.State.Gone() {
			hashes = append(hashes, NameHash(peer.Name))
		}
	}
	slices.Sort(hashes)
	return hashes[:min(len(hashes), maxBadLinks)]
}
