package placement

import (
	"cmp"
	"slices"
)

const (
	// thresholdSlack is the multiple of a load threshold above which connections migrate. Loads vary by as much.
	thresholdSlack = 1.1
	// drainGrace is the time in seconds in which a draining server may send its clients away itself.
	drainGrace = 3.0
	// migrationsPerWake is the inverse of the share of a server's connections that migrate in one interval.
	migrationsPerWake = 10
	// overQuotaPriority is the factor by which connections of tenants over their quota migrate first.
	overQuotaPriority = 10
)

// adminState is what an operator said of a server. Neither endpoint lists nor health checks change it.
type adminState struct {
	disabled  bool
	changedAt float64 // when it was disabled, or when a server enabled again counts as started
	enterFrom float64 // when a new flow enters a server that was enabled again; 0 once one did
}

// SetDisabled reports that an operator has disabled a server or enabled it again, and returns whether that is a
// change. A disabled server gets no new flow and its connections migrate.
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

// enable forgets what was learned of the server, as its operators vouch for it. A server that has not started since
// it was disabled counts as started now: it most likely was restarted, and the list does not say so yet.
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
	s.admin.enterFrom = now + reentryTime*b.random()*(1-1/float64(b.Nodes)) // all nodes hear of it in one moment
}

// mustMigrate reports whether connections have to leave a server: all of them when it is disabled or drains, else
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

// migrateExcess queues the migration of connections that have to leave their servers, a tenth of each server's
// connections at a time.
func (b *Balancer) migrateExcess(now float64) {
	for _, id := range b.migrationCandidates(now) {
		f := &b.flows[id]
		s := &b.servers[f.server]
		if !b.mustMigrate(now, s) || s.migrations > s.inFlight/migrationsPerWake {
			continue
		}
		s.migrations++
		s.assignedLoad -= f.load
		f.load = 0
		f.migrated = true
		b.queued = append(b.queued, Decision{Action: Migrate, Flow: id})
	}
}

// migrationCandidates returns the connections on servers that have to lose some, the highest priority first.
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

// migrationPriority puts tenants over their quota first, then connections that are heavy for their service type, so
// that no type bears all migrations.
func (b *Balancer) migrationPriority(id int) float64 {
	f := &b.flows[id]
	if b.overQuota(f.tenant) {
		return overQuotaPriority * f.load / b.usualLoad(f.serviceType)
	}
	return f.load / b.usualLoad(f.serviceType)
}
