package placement

import (
	"cmp"
	"slices"
)

const (
	// thresholdSlack is the multiple of a load threshold above which connections migrate. Loads below it are within the
	// usual variation.
	thresholdSlack = 1.1
	// drainGrace is the time in seconds that a draining server has to disconnect its clients itself.
	drainGrace = 3.0
	// migrationDivisor is the number by which a server's connections are divided to get how many of them migrate in one
	// housekeeping interval.
	migrationDivisor = 10
	// overQuotaPriority is the factor that raises the migration priority of connections of tenants over their quota.
	overQuotaPriority = 10
)

// adminState is the state that an operator has set for a server. Neither endpoint lists nor health checks change it.
type adminState struct {
	disabled  bool
	changedAt float64 // when the server was disabled, or, once enabled again, when it counts as started
	reentryAt float64 // when a first flow is sent to the server after it was enabled again; 0 if none is due
}

// SetDisabled reports that an operator has disabled a server or enabled it again, and returns whether this changed its
// state. A disabled server gets no new flows and its connections migrate.
func (b *Balancer) SetDisabled(now float64, index int, disabled bool) bool {
	s := b.server(index)
	if s.admin.disabled == disabled {
		return false
	}
	if disabled {
		s.admin = adminState{disabled: true, changedAt: now}
		b.logf("server %d administratively disabled, %d connections on it", s.ID, s.inFlight)
		return true
	}
	b.enable(now, s)
	b.logf("server %d enabled again", s.ID)
	return true
}

// enable discards what was learned about a server, because its operator has declared it usable. If the listed start time
// is from before it was disabled, the server counts as started now: it was most likely restarted and the endpoint list
// does not show it yet.
func (b *Balancer) enable(now float64, s *server) {
	before := *s
	s.forget()
	s.Endpoint = before.Endpoint
	s.idHash = before.idHash
	s.listed = before.listed
	s.drainingAt = before.drainingAt
	if s.StartedAt < before.admin.changedAt {
		s.admin.changedAt = now
	}
	s.admin.reentryAt = now + reentryTime*b.random()*(1-1/float64(b.Nodes)) // random: all nodes are notified at once
}

// mustMigrate reports whether connections have to leave a server: all of them if it is disabled or draining, otherwise
// those above its load threshold.
func (b *Balancer) mustMigrate(now float64, s *server) bool {
	if s.admin.disabled {
		return true
	}
	if s.State == Draining && now-s.drainingAt > drainGrace {
		return true
	}
	return s.threshold.exceeded(s.assignedLoad, b.meanUsualLoad())
}

// migrateExcess queues the migration of connections that have to leave their servers. In one housekeeping interval it
// migrates about a tenth of each server's connections.
func (b *Balancer) migrateExcess(now float64) {
	for _, id := range b.migrationCandidates(now) {
		f := &b.flows[id]
		s := &b.servers[f.server]
		if !b.mustMigrate(now, s) || s.migrations > s.inFlight/migrationDivisor {
			continue
		}
		s.migrations++
		s.assignedLoad -= f.load
		f.load = 0
		f.migrated = true
		b.queued = append(b.queued, Decision{Action: Migrate, Flow: id})
	}
}

// migrationCandidates returns the connections that may be migrated, those with the highest priority first. They are at
// servers for which mustMigrate returns true.
func (b *Balancer) migrationCandidates(now float64) []int {
	var candidates []int
	for id := range b.flows {
		f := &b.flows[id]
		if f.established && !f.migrated && f.load > 0 && b.mustMigrate(now, &b.servers[f.server]) {
			candidates = append(candidates, id)
		}
	}
	slices.SortStableFunc(candidates, func(x, y int) int {
		return cmp.Compare(b.migrationPriority(y), b.migrationPriority(x))
	})
	return candidates
}

// migrationPriority ranks connections of tenants over their quota first. It then ranks by the load of a connection
// relative to the usual load of its service type, so that the migrations are not all of one type.
func (b *Balancer) migrationPriority(id int) float64 {
	f := &b.flows[id]
	if b.overQuota(f.tenant) {
		return overQuotaPriority * f.load / b.usualLoad(f.serviceType)
	}
	return f.load / b.usualLoad(f.serviceType)
}
