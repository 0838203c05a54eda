package node

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gorseledge/internal/node/live"
	"gorseledge/placement"
)

// liveSettings holds the settings that can change while the node is running, and their values at the start. A key that a
// revision leaves out returns to its value at the start.
type liveSettings struct {
	revision           live.Revision // the revision in force, zero for none
	startSettings      placement.LiveSettings
	nodes              int     // number of nodes that share the hosts, as given at the start
	memberCount        int     // number of nodes that membership counted last; 0 if it has never counted them
	descriptors        int     // descriptors that connections may use, as given at the start
	descriptorOverhead int     // descriptors that the process uses in addition to its connections
	nextOverrideExpiry float64 // when the next host's override expires, infinite for never
	awaitDeadline      float64 // the listener stays closed until then, or until a first revision; 0 for no wait
}

// newLiveSettings returns the settings of the start, without a revision.
func newLiveSettings(now float64, start Start) liveSettings {
	settings := liveSettings{
		startSettings:      start.Settings.Live(),
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

// Revision returns the revision of the live settings that is in force, or the zero Revision if there is none.
func (n *Node) Revision() live.Revision { return n.live.revision }

// IgnoredKeys returns the keys of the revision in force that have no effect on this node, sorted.
func (n *Node) IgnoredKeys() []string { return n.ignoredKeys(n.live.revision.Settings) }

// applyRevision puts a revision in force and emits the result.
func (n *Node) applyRevision(revision live.Revision) {
	ignored, err := n.enforceRevision(revision)
	n.emit(SettingsApplied{Ignored: ignored, Err: err})
}

// enforceRevision applies the whole revision or, if it returns an error, none of it. It returns the keys that have no
// effect on this node, such as those of an unknown tenant or service type. A revision that is already in force changes
// nothing.
func (n *Node) enforceRevision(revision live.Revision) (ignored []string, err error) {
	previous := n.live.revision
	if previous.NewerThan(revision) {
		return nil, fmt.Errorf("newer revision %d.%d is already in force", previous.Epoch, previous.Number)
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
	n.balancer.ApplySettings(n.settingsUnder(next))
	n.applyNodeCount(next.Nodes, previous.Settings.Nodes)
	n.applyDescriptorLimit(next.MaxDescriptors)
	n.applyWeights(next.Hosts, previous.Settings.Hosts)
	n.applyHostOverrides()
	n.applyDiscovery(next.Discovery, previous.Settings.Discovery)
	n.emit(RevisionInForce{Revision: revision, Ignored: ignored})
	n.emit(UpdatePeerProcess{HandoverUpdate{Revision: &revision}, AnyPeer})
	return ignored, nil
}

// checkFits returns an error that names the key if this node's start settings do not allow the new ones.
func (n *Node) checkFits(settings live.Settings) error {
	start := n.live.startSettings
	if settings.MaxRetryAfter != nil && *settings.MaxRetryAfter > 0 && start.MaxRetryAfter <= 0 {
		return errors.New("retry_advice_s: must be 0, as this node's clients do not follow retry times")
	}
	if settings.MaxAttempts != nil && *settings.MaxAttempts > start.MaxAttempts {
		return fmt.Errorf("limits.max_connects: must be at most %d, the value at the start, got %d",
			start.MaxAttempts, *settings.MaxAttempts)
	}
	mostDescriptors := n.live.descriptors + n.live.descriptorOverhead
	if settings.MaxDescriptors != nil && *settings.MaxDescriptors > mostDescriptors {
		return fmt.Errorf("limits.sockets: must be at most %d, the value at the start, got %d",
			mostDescriptors, *settings.MaxDescriptors)
	}
	if settings.SlowStart != (live.SlowStart{}) && !hasSlowStart(n.settingsUnder(settings)) {
		return errors.New("slow_start: all four values are needed, as this node was started without a slow start")
	}
	return nil
}

// hasSlowStart reports whether all values of the slow start are set.
func hasSlowStart(settings placement.LiveSettings) bool {
	ramp := settings.SlowStartFraction > 0 && settings.SlowStartTime > 0
	return ramp && settings.OverloadMultiple > 0 && settings.OverloadWindow > 0
}

// ignoredKeys returns the keys of the settings that have no effect on this node, sorted.
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
	return known && index < len(n.live.startSettings.Quotas)
}

// override replaces a value by the setting, if that is not nil.
func override[T any](value *T, setting *T) {
	if setting != nil {
		*value = *setting
	}
}

// settingsUnder returns the balancer's effective settings: those of the start, overridden by the given ones.
func (n *Node) settingsUnder(settings live.Settings) placement.LiveSettings {
	effective := n.live.startSettings
	effective.Objectives = slices.Clone(effective.Objectives)
	effective.Quotas = slices.Clone(effective.Quotas)
	override(&effective.MaxAttempts, settings.MaxAttempts)
	override(&effective.MaxRetryAfter, settings.MaxRetryAfter)
	if !n.listener.ListPushed {
		override(&effective.PollInterval, settings.PollInterval)
	}
	override(&effective.SlowStartFraction, settings.SlowStart.Share)
	override(&effective.SlowStartTime, settings.SlowStart.Duration)
	override(&effective.OverloadMultiple, settings.SlowStart.OverloadMultiple)
	override(&effective.OverloadWindow, settings.SlowStart.OverloadWindow)
	for name, serviceType := range settings.Types {
		if index, known := n.serviceTypes[name]; known {
			override(&effective.Objectives[index].Setup, serviceType.SetupObjective)
			override(&effective.Objectives[index].Message, serviceType.MessageObjective)
		}
	}
	for name, tenant := range settings.Tenants {
		if n.hasQuota(name) && tenant.Connections != nil {
			effective.Quotas[n.tenants[name]] = float64(*tenant.Connections)
		}
	}
	return effective
}

// applyNodeCount applies the number of nodes that share the hosts. If membership has counted the nodes, its count stays
// in force, as membership receives the same setting.
func (n *Node) applyNodeCount(next, previous *int) {
	if n.live.memberCount > 0 || next == nil && previous == nil {
		return
	}
	count := n.live.nodes
	override(&count, next)
	n.balancer.SetNodes(count)
}

// setMemberCount applies the number of members, including this node.
func (n *Node) setMemberCount(nodes int) {
	n.live.memberCount = nodes
	n.balancer.SetNodes(nodes)
}

// applyDescriptorLimit applies the limit of descriptors of the process. Nil restores the limit of the start.
func (n *Node) applyDescriptorLimit(setting *int) {
	limit := n.live.descriptors
	if setting != nil {
		limit = max(*setting-n.live.descriptorOverhead, descriptorsPerFlow)
	}
	n.connections.setConfiguredLimit(limit, n.upgrade.clientsHandedOver)
}

// applyDiscovery moves the watch to a new address of discovery. Nil stands for the address given at the start.
func (n *Node) applyDiscovery(next, previous *string) {
	var nextAddress, previousAddress string
	override(&nextAddress, next)
	override(&previousAddress, previous)
	if nextAddress == previousAddress {
		return
	}
	n.emit(MoveDiscovery{Address: nextAddress})
	n.discoveryMoved()
}
