package node

// dialedStep is the step between the ids of dialed connections, which keeps them even.
const dialedStep = 2

// connectionTable holds the open connections and counts descriptors.
//
// A descriptor counts as in use from when its connection is accepted or dialed until Closed confirms its close, so
// closing <= descriptors always holds. A connection that is being closed is no longer in byID.
type connectionTable struct {
	byID        map[ConnID]*connection
	lastDialed  ConnID // the highest id of a dialed connection
	descriptors int    // descriptors in use by connections
	closing     int    // how many of descriptors belong to connections that are being closed

	limit           int // how many descriptors may be used now
	configuredLimit int // the limit while no successor serves the clients
	reserved        int // descriptors of the same limit that the predecessor uses
}

// newConnectionTable returns an empty table with a limit of descriptors.
func newConnectionTable(limit int) connectionTable {
	return connectionTable{byID: map[ConnID]*connection{}, limit: limit, configuredLimit: limit}
}

// add adds a new connection and counts its descriptor.
func (t *connectionTable) add(id ConnID, as role, now float64) *connection {
	c := &connection{id: id, role: as, startedAt: now}
	t.byID[id] = c
	t.descriptors++
	return c
}

// addDialed adds a connection under the next id for connections that the node opens itself.
func (t *connectionTable) addDialed(as role, now float64) *connection {
	t.lastDialed += dialedStep
	return t.add(t.lastDialed, as, now)
}

// remove removes a connection that is being closed from the table. Its descriptor stays counted until descriptorFreed.
func (t *connectionTable) remove(c *connection) {
	delete(t.byID, c.id)
	t.closing++
}

// descriptorFreed accounts for a confirmed close.
func (t *connectionTable) descriptorFreed() {
	t.descriptors--
	t.closing--
}

// neverOpened accounts for a dial that failed and holds no descriptor. It undoes in advance what remove is about to count
// for the connection, as no Closed will confirm its close.
func (t *connectionTable) neverOpened() {
	t.descriptors--
	t.closing--
}

// with calls handle with the connection of this id, if it is open.
func (t *connectionTable) with(id ConnID, handle func(*connection)) {
	if c := t.byID[id]; c != nil {
		handle(c)
	}
}

// used returns how many descriptors open connections hold, without those of connections that are being closed.
func (t *connectionTable) used() int { return t.descriptors - t.closing }

// lowOnDescriptors reports whether one more descriptor would not leave descriptorReserve, which is kept for rejecting
// new connections.
func (t *connectionTable) lowOnDescriptors() bool {
	return t.used()+1+descriptorReserve+t.reserved > t.limit
}

// setConfiguredLimit changes the limit. While a successor serves the clients, limit may only fall.
func (t *connectionTable) setConfiguredLimit(limit int, clientsHandedOver bool) {
	if limit == t.configuredLimit {
		return
	}
	t.configuredLimit = limit
	if clientsHandedOver {
		limit = min(limit, t.limit)
	}
	t.limit = limit
}

// onlyHealthChecksLeft reports whether all open connections are health checks.
func (t *connectionTable) onlyHealthChecksLeft() bool {
	for _, c := range t.byID {
		if c.role != healthCheckRole {
			return false
		}
	}
	return true
}
