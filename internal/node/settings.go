package node

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gorseledge/internal/node/live"
	"gorseledge/placement"
)

// liveSettings are what of the node's settings can change while flows go on, and the start's figures to which a key
// that a revision leaves out goes back.
type liveSettings struct {
	revision  live.Revision // in force
	figures   placement.LiveSettings
	nodes     int     // by the start
	siblings  int     // as told last, 0 for never
	sockets   int     // descriptors that connections may take by the start
	overhead  int     // descriptors that the process takes beside them
	expiry    float64 // when the next host's override ends, infinite for none
	awaitTill float64 // the listener stays closed until then, unless a revision comes; 0 for not at all
}

func newLiveSettings(now float64, s Start) liveSettings {
	l := liveSettings{figures: s.Settings.Live(), nodes: s.Settings.Nodes, sockets: s.MaxDescriptors, overhead: s.DescriptorOverhead,
		expiry: math.Inf(1)}
	if s.AwaitSettings > 0 {
		l.awaitTill = now + s.AwaitSettings
	}
	return l
}

// awaitsSettings tells whether the listener is still to wait for a first revision.
func (n *Node) awaitsSettings() bool {
	return n.now < n.live.awaitTill && n.live.revision.IsZero()
}

// noteUnawaited says where clients are let in although no revision has come in time.
func (n *Node) noteUnawaited() {
	if n.live.awaitTill > 0 && n.live.revision.IsZero() {
		n.ask(WriteLog{"no word of the live settings in time: clients are let in by the start's"})
	}
}

// Revision gives the revision of the live settings that is in force; the zero Revision for none.
func (n *Node) Revision() live.Revision { return n.live.revision }

// reconfigured puts a revision in force, or says why not.
func (n *Node) reconfigured(r live.Revision) {
	ignored, err := n.putInForce(r)
	n.ask(SettingsApplied{Ignored: ignored, Err: err})
}

// putInForce takes all of a revision or, with an error, nothing of it. What names a tenant or service type that this
// node does not know has no effect and is given back. One that is in force already changes nothing.
func (n *Node) putInForce(r live.Revision) (ignored []string, err error) {
	was := n.live.revision
	if was.NewerThan(r) {
		return nil, fmt.Errorf("revision %d.%d is in force and newer", was.Epoch, was.Number)
	}
	if err := n.fits(r.Settings); err != nil {
		return nil, err
	}
	ignored = n.ignored(r.Settings)
	if !r.NewerThan(was) {
		return ignored, nil
	}
	n.live.revision = r
	n.module.ApplySettings(n.figuresBy(r.Settings))
	n.shareBy(r.Settings.Nodes, was.Settings.Nodes)
	n.limitBy(r.Settings.MaxDescriptors)
	n.weighBy(r.Settings.Hosts, was.Settings.Hosts)
	n.applyOverrides()
	n.relocateBy(r.Settings.Discovery, was.Settings.Discovery)
	n.ask(UpdatePeerProcess{HandoverUpdate{Revision: &r}})
	return ignored, nil
}

// fits tells whether this node's start allows the settings.
func (n *Node) fits(s live.Settings) error {
	start := n.live.figures
	switch {
	case s.MaxRetryAfter != nil && *s.MaxRetryAfter > 0 && start.MaxRetryAfter <= 0:
		return errors.New("retry_advice_s: this node's clients follow no retry time")
	case s.MaxAttempts != nil && *s.MaxAttempts > start.MaxAttempts:
		return fmt.Errorf("limits.max_connects: %d is over the start's %d", *s.MaxAttempts, start.MaxAttempts)
	case s.MaxDescriptors != nil && *s.MaxDescriptors > n.live.sockets+n.live.overhead:
		return fmt.Errorf("limits.sockets: %d is over the start's %d", *s.MaxDescriptors, n.live.sockets+n.live.overhead)
	}
	f := n.figuresBy(s)
	if s.SlowStart != (live.SlowStart{}) && !(f.SlowStartShare > 0 && f.SlowStartTime > 0 && f.OverloadMultiple > 0 && f.OverloadWindow > 0) {
		return errors.New("slow_start: this node's start has none, so that all four figures are needed")
	}
	return nil
}

// ignored gives what of the settings has no effect here, sorted.
func (n *Node) ignored(s live.Settings) (keys []string) {
	for name := range s.Tenants {
		if at, known := n.tenants[name]; !known || at >= len(n.live.figures.Quotas) {
			keys = append(keys, "tenants."+name)
		}
	}
	for name := range s.Types {
		if _, known := n.types[name]; !known {
			keys = append(keys, "service_types."+name)
		}
	}
	if s.PollInterval != nil && n.door.ListPushed {
		keys = append(keys, "ask_within_s")
	}
	slices.Sort(keys)
	return keys
}

func replace[T any](figure *T, by *T) {
	if by != nil {
		*figure = *by
	}
}

// figuresBy gives the module's figures under the settings.
func (n *Node) figuresBy(s live.Settings) placement.LiveSettings {
	f := n.live.figures
	f.Objectives, f.Quotas = slices.Clone(f.Objectives), slices.Clone(f.Quotas)
	replace(&f.MaxAttempts, s.MaxAttempts)
	replace(&f.MaxRetryAfter, s.MaxRetryAfter)
	if !n.door.ListPushed {
		replace(&f.PollInterval, s.PollInterval)
	}
	replace(&f.SlowStartShare, s.SlowStart.Share)
	replace(&f.SlowStartTime, s.SlowStart.Duration)
	replace(&f.OverloadMultiple, s.SlowStart.OverloadMultiple)
	replace(&f.OverloadWindow, s.SlowStart.OverloadWindow)
	for name, t := range s.Types {
		if at, known := n.types[name]; known {
			replace(&f.Objectives[at].Setup, t.SetupObjective)
			replace(&f.Objectives[at].Message, t.MessageObjective)
		}
	}
	for name, t := range s.Tenants {
		if at, known := n.tenants[name]; known && at < len(f.Quotas) && t.Connections != nil {
			f.Quotas[at] = float64(*t.Connections)
		}
	}
	return f
}

// shareBy takes the number of nodes. Where members are counted, that count holds: whoever counts them is told the
// setting as well.
func (n *Node) shareBy(nodes, was *int) {
	if n.live.siblings > 0 || nodes == nil && was == nil {
		return
	}
	count := n.live.nodes
	replace(&count, nodes)
	n.module.SetNodes(count)
}

// siblings takes the number of members.
func (n *Node) siblings(nodes int) {
	n.live.siblings = nodes
	n.module.SetNodes(nodes)
}

// limitBy takes the limit of descriptors. A successor that has the clients leaves this process no more than it has.
func (n *Node) limitBy(sockets *int) {
	most := n.live.sockets
	if sockets != nil {
		most = max(*sockets-n.live.overhead, 2)
	}
	if most == n.sockets {
		return
	}
	n.sockets = most
	if n.given {
		most = min(most, n.limit)
	}
	n.limit = most
}

// weightOf is a host's weight: the settings' or else the listed one.
func (n *Node) weightOf(name string, listed float64) float64 {
	if w := n.live.revision.Settings.Hosts[name].Weight; w != nil {
		return *w
	}
	return max(listed, 0)
}

// weighBy takes the weights of the hosts of which the settings say or said one.
func (n *Node) weighBy(hosts, were map[string]live.Host) {
	for _, all := range []map[string]live.Host{hosts, were} {
		for name := range all {
			if at, known := n.byName[name]; known {
				n.module.SetSize(at, n.weightOf(name, n.hosts[at].told.Weight))
			}
		}
	}
}

// relocateBy takes discovery's address; none stands for that of the start.
func (n *Node) relocateBy(address, was *string) {
	var to, from string
	replace(&to, address)
	replace(&from, was)
	if to == from {
		return
	}
	n.ask(MoveDiscovery{Address: to})
	n.relocated()
}

// overridden tells whether the settings disable a host now.
func (n *Node) overridden(name string) bool { return n.overriddenTill(name) > n.now }

func (n *Node) overriddenTill(name string) float64 {
	if till := n.live.revision.Settings.Hosts[name].DisabledUntil; till != nil {
		return *till
	}
	return 0
}

// applyOverrides has the module take out, or back, the hosts for which that has changed. A host is out as long as the
// settings or an operator at the second address disable it.
func (n *Node) applyOverrides() {
	n.live.expiry = math.Inf(1)
	for _, h := range n.live.revision.Settings.Hosts {
		if till := h.DisabledUntil; till != nil && *till > n.now {
			n.live.expiry = min(n.live.expiry, *till)
		}
	}
	for at := range n.hosts {
		n.applyDisabled(at)
	}
	n.recall()
}

// expireOverrides takes back the hosts whose time is over.
func (n *Node) expireOverrides() {
	if n.now >= n.live.expiry {
		n.applyOverrides()
	}
}

// applyDisabled tells the module whether a host is disabled, and tells whether that has changed.
func (n *Node) applyDisabled(at int) bool {
	h := &n.hosts[at]
	overridden := n.overridden(h.name)
	if overridden != h.overridden {
		h.overridden = overridden
		r := n.live.revision
		if overridden {
			n.ask(WriteLog{fmt.Sprintf("host %s disabled until %.0f by revision %d.%d", h.name, n.overriddenTill(h.name),
				r.Epoch, r.Number)})
		} else {
			n.ask(WriteLog{fmt.Sprintf("host %s no longer disabled by revision %d.%d", h.name, r.Epoch, r.Number)})
		}
	}
	return n.module.SetDisabled(n.now, at, h.disabledByHand || overridden)
}

// inheritSettings takes the predecessor's revision and the hosts that it has out, once the module has taken what is
// known of the hosts. Where the revision does not fit this process, a host that the predecessor had out stays out until
// an operator puts it back: guards against a window in which it takes flows.
func (n *Node) inheritSettings(l *HandoverState, places []int) {
	var unfit error
	if l.Revision != nil {
		if unfit = n.fits(l.Revision.Settings); unfit != nil {
			n.ask(WriteLog{fmt.Sprintf("the predecessor's revision %d.%d does not fit: %v", l.Revision.Epoch, l.Revision.Number, unfit)})
		}
	}
	for i, at := range places {
		h := &n.hosts[at]
		if l.Revision != nil && unfit == nil {
			h.disabledByHand = slices.Contains(l.DisabledByHand, h.name)
		} else {
			h.disabledByHand = i < len(l.Module.Servers) && l.Module.Servers[i].Disabled
		}
	}
	if l.Revision != nil && unfit == nil && l.Revision.NewerThan(n.live.revision) {
		n.putInForce(*l.Revision)
	} else if !n.live.revision.IsZero() {
		n.applyOverrides()
	}
}

// handoverSettings gives what of the settings goes over to a successor.
func (n *Node) handoverSettings(l *HandoverState) {
	if n.live.revision.IsZero() {
		return
	}
	r := n.live.revision
	l.Revision = &r
	for _, h := range n.hosts {
		if h.disabledByHand {
			l.DisabledByHand = append(l.DisabledByHand, h.name)
		}
	}
}
