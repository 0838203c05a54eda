package node

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gorseledge/internal/node/live"
	"gorseledge/placement"
)

// liveSettings are those of the node's settings that can change while flows go on, with the start's figures, to which a
// key returns that a revision leaves out.
type liveSettings struct {
	revision           live.Revision // in force
	figures            placement.LiveSettings
	nodes              int     // that share the hosts, by the start
	memberCount        int     // of nodes, as counted by membership last; 0 for never
	descriptors        int     // that connections may take, by the start
	descriptorOverhead int     // that the process takes beside them
	nextOverrideExpiry float64 // when the next host's override ends, infinite for none
	awaitDeadline      float64 // the listener stays closed until then unless a revision comes; 0 for not at all
}

// newLiveSettings returns the start's figures, without a revision.
func newLiveSettings(now float64, start Start) liveSettings {
	settings := liveSettings{
		figures:            start.Settings.Live(),
		nodes:              start.Settings.Nodes,
		descriptors:        start.MaxDescriptors,
		descriptorOverhead: start.DescriptorOverhead,
		nextOverrideExpiry: math.Inf(1),
	}
	if start.AwaitSettings > 0 {
		settings.awaitDeadline = now + start.AwaitSettings
	}
	return settings
}

// Revision returns the revision of the live settings that is in force, the zero Revision for none.
func (n *Node) Revision() live.Revision { return n.live.revision }

// applyRevision puts a revision in force and emits the result.
func (n *Node) applyRevision(revision live.Revision) {
	ignored, err := n.enforceRevision(revision)
	n.emit(SettingsApplied{Ignored: ignored, Err: err})
}

// enforceRevision puts all of a revision in force or, with an error, nothing of it. Keys that name a tenant or service
// type that this node does not know have no effect and are returned. A revision that is in force changes nothing.
func (n *Node) enforceRevision(revision live.Revision) (ignored []string, err error) {
	previous := n.live.revision
	if previous.NewerThan(revision) {
		return nil, fmt.Errorf("revision %d.%d is in force and newer", previous.Epoch, previous.Number)
	}
	next := revision.Settings
	if err := n.checkFits(next); err != nil {
		return nil, err
	}
	ignored = n.ignoredKeys(next)
	if !revision.NewerThan(previous) {
		return ignored, nil
	}
	n.live.revision = revision
	n.balancer.ApplySettings(n.figuresUnder(next))
	n.applyNodeCount(next.Nodes, previous.Settings.Nodes)
	n.applyDescriptorLimit(next.MaxDescriptors)
	n.applyWeights(next.Hosts, previous.Settings.Hosts)
	n.applyHostOverrides()
	n.applyDiscovery(next.Discovery, previous.Settings.Discovery)
	n.emit(UpdatePeerProcess{HandoverUpdate{Revision: &revision}})
	return ignored, nil
}

// checkFits returns an error if this node's start does not allow the settings. It names the key.
func (n *Node) checkFits(settings live.Settings) error {
	start := n.live.figures
	if settings.MaxRetryAfter != nil && *settings.MaxRetryAfter > 0 && start.MaxRetryAfter <= 0 {
		return errors.New("retry_advice_s: this node's clients follow no retry time")
	}
	if settings.MaxAttempts != nil && *settings.MaxAttempts > start.MaxAttempts {
		return fmt.Errorf("limits.max_connects: %d is over the start's %d", *settings.MaxAttempts, start.MaxAttempts)
	}
	mostDescriptors := n.live.descriptors + n.live.descriptorOverhead
	if settings.MaxDescriptors != nil && *settings.MaxDescriptors > mostDescriptors {
		return fmt.Errorf("limits.sockets: %d is over the start's %d", *settings.MaxDescriptors, mostDescriptors)
	}
	if settings.SlowStart != (live.SlowStart{}) && !hasSlowStart(n.figuresUnder(settings)) {
		return errors.New("slow_start: this node's start has none, so that all four figures are needed")
	}
	return nil
}

// hasSlowStart reports whether all figures of the slow start are set.
func hasSlowStart(figures placement.LiveSettings) bool {
	ramp := figures.SlowStartShare > 0 && figures.SlowStartTime > 0
	return ramp && figures.OverloadMultiple > 0 && figures.OverloadWindow > 0
}

// ignoredKeys returns the keys of the settings that have no effect here, sorted.
func (n *Node) ignoredKeys(settings live.Settings) []string {
	var keys []string
	for name := range settings.Tenants {
		if !n.hasQuota(name) {
			keys = append(keys, "tenants."+name)
		}
	}
	for name := range settings.Types {
		if _, known := n.serviceTypes[name]; !known {
			keys = append(keys, "service_types."+name)
		}
	}
	if settings.PollInterval != nil && n.listener.ListPushed {
		keys = append(keys, "ask_within_s")
	}
	slices.Sort(keys)
	return keys
}

// hasQuota reports whether a tenant is known and has a quota.
func (n *Node) hasQuota(tenant string) bool {
	index, known := n.tenants[tenant]
	return known && index < len(n.live.figures.Quotas)
}

// overrideFigure replaces a figure by a setting, if there is one.
func overrideFigure[T any](figure *T, setting *T) {
	if setting != nil {
		*figure = *setting
	}
}

// figuresUnder returns the balancer's figures under the settings.
func (n *Node) figuresUnder(settings live.Settings) placement.LiveSettings {
	figures := n.live.figures
	figures.Objectives = slices.Clone(figures.Objectives)
	figures.Quotas = slices.Clone(figures.Quotas)
	overrideFigure(&figures.MaxAttempts, settings.MaxAttempts)
	overrideFigure(&figures.MaxRetryAfter, settings.MaxRetryAfter)
	if !n.listener.ListPushed {
		overrideFigure(&figures.PollInterval, settings.PollInterval)
	}
	overrideFigure(&figures.SlowStartShare, settings.SlowStart.Share)
	overrideFigure(&figures.SlowStartTime, settings.SlowStart.Duration)
	overrideFigure(&figures.OverloadMultiple, settings.SlowStart.OverloadMultiple)
	overrideFigure(&figures.OverloadWindow, settings.SlowStart.OverloadWindow)
	for name, serviceType := range settings.Types {
		if index, known := n.serviceTypes[name]; known {
			overrideFigure(&figures.Objectives[index].Setup, serviceType.SetupObjective)
			overrideFigure(&figures.Objectives[index].Message, serviceType.MessageObjective)
		}
	}
	for name, tenant := range settings.Tenants {
		if n.hasQuota(name) && tenant.Connections != nil {
			figures.Quotas[n.tenants[name]] = float64(*tenant.Connections)
		}
	}
	return figures
}

// applyNodeCount applies the number of nodes that share the hosts. Where members are counted, that count holds, as
// membership is given the setting as well.
func (n *Node) applyNodeCount(next, previous *int) {
	if n.live.memberCount > 0 || next == nil && previous == nil {
		return
	}
	count := n.live.nodes
	overrideFigure(&count, next)
	n.balancer.SetNodes(count)
}

// setMemberCount applies the number of members, this node included.
func (n *Node) setMemberCount(nodes int) {
	n.live.memberCount = nodes
	n.balancer.SetNodes(nodes)
}

// applyDescriptorLimit applies the limit of descriptors of the process, nil for the start's.
func (n *Node) applyDescriptorLimit(setting *int) {
	limit := n.live.descriptors
	if setting != nil {
		limit = max(*setting-n.live.descriptorOverhead, descriptorsPerFlow)
	}
	n.connections.setConfiguredLimit(limit, n.upgrade.clientsHandedOver)
}

// applyDiscovery moves the watch to discovery's address, nil for that of the start.
func (n *Node) applyDiscovery(next, previous *string) {
	var nextAddress, previousAddress string
	overrideFigure(&nextAddress, next)
	overrideFigure(&previousAddress, previous)
	if nextAddress == previousAddress {
		return
	}
	n.emit(MoveDiscovery{Address: nextAddress})
	n.discoveryMoved()
}
