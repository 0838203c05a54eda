package fleet

import (
	"fmt"
	"slices"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet/view"
)

// view returns the current status of the distributed configuration at this node.
func (f *configFollower) view() *view.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.known()
	traffic := f.traffic
	if f.follower != nil {
		traffic = f.totalTraffic(f.follower)
	}
	c := &view.Config{
		Epoch:         f.state.Version.Epoch,
		Revision:      f.state.Version.Revision,
		Since:         f.inForceSince,
		Digest:        fmt.Sprintf("%016x", uint64(f.state.Digest)),
		Region:        f.config.Region,
		Server:        known.Server,
		Heard:         known.LastHeard,
		Age:           f.answerAge(known.LastHeard),
		Follows:       f.follower != nil,
		Newest:        view.Version(known.Newest),
		Ignored:       slices.Clone(f.ignored),
		Requests:      traffic.Requests,
		BytesSent:     traffic.BytesSent,
		BytesReceived: traffic.BytesReceived,
	}
	for _, server := range f.config.Control {
		c.Servers = append(c.Servers, server.Name)
	}
	if known.Refused != nil {
		c.Refused = &view.Refused{Version: view.Version(known.Refused.Version), Reason: known.Refused.Reason}
	}
	return c
}

// known returns what this process knows from the control servers, as of the state in force. The follower records a state
// only after the node has put it in force, and records none that the peer process reports: what it knew before may contain
// a refusal that the state in force has ended, and an older newest version. The caller holds the lock.
func (f *configFollower) known() configfeed.FollowerView {
	known := f.lastView
	if f.follower != nil {
		known = f.follower.View()
	}
	inForce := f.state.Version
	if known.Refused != nil && known.Refused.Version.Compare(inForce) <= 0 {
		known.Refused = nil
	}
	if known.Newest.Compare(inForce) < 0 {
		known.Newest = inForce
	}
	return known
}
