package fleet

import (
	"fmt"
	"slices"

	"gorseledge/internal/fleet/view"
)

// view returns the current status of the distributed configuration at this node.
func (f *configFollower) view() *view.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.lastView
	traffic := f.traffic
	if f.follower != nil {
		known = f.follower.View()
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
