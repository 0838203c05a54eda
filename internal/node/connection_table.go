package node

// dialedStep keeps the numbers of dialed connections even.
const dialedStep = 2

// connectionTable holds the open connections and counts descriptors.
//
// A descriptor is taken from the time when a connection is accepted or dialed until Closed confirms its close, so
// closing <= descriptors always, and a connection that is being closed no longer stands in byID.
type connectionTable struct {
	byID        map[ConnID]*connection
	lastDialed  ConnID // the highest number of a dialed connection; these are even
	descriptors int    // taken by connections
	closing     int    // of these, how many are being closed

	limit           int // descriptors that may be used now
	configuredLimit int // the limit while no successor has the clients
	reserved        int // descriptors that the predecessor takes out of the same limit
}

// newConnectionTable returns an empty table with a limit of descriptors.
func newConnectionTable(limit int) connectionTable {
	return connectionTable{byID: map[ConnID]*connection{}, limit: limit, configuredLimit: limit}
}

// add takes a descriptor for a new connection.
func (t *connectionTable) add(id ConnID, as role, now float64) *connection {
	c := &connection{id: id, role: as, startedAt: now}
	t.byID[id] = c
	t.descriptors++
	return c
}

// addDialed adds a connection under the next number for connections that the node opens itself.
func (t *connectionTable) addDialed(as role, now float64) *connection {
	t.lastDialed += dialedStep
	return t.add(t.lastDialed, as, now)
}

// remove begins the close of a connection. Its descriptor is taken until descriptorFreed.
func (t *connectionTable) remove(c *connection) {
	delete(t.byID, c.id)
	t.closing++
}

// descriptorFreed counts a descriptor that is free again.
func (t *connectionTable) descriptorFreed() {
	t.descriptors--
	t.closing--
}

// neverOpened accounts for a dial that failed: no descriptor is left, and the close that follows frees none.
func (t *connectionTable) neverOpened() {
	t.descriptors--
	t.closing--
}

// with calls handle with the connection of that number, if it is open.
func (t *connectionTable) with(id ConnID, handle func(*connection)) {
	if c := t.byID[id]; c != nil {
		handle(c)
	}
}

// used returns how many descriptors connections hold, without those that are being closed.
func (t *connectionTable) used() int { return t.descriptors - t.closing }

// short reports whether only the reserve is left, which is kept for rejecting new connections.
func (t *connectionTable) short() bool {
	return t.used()+1+descriptorReserve+t.reserved > t.limit
}

// setConfiguredLimit changes the limit. While a successor has the clients, the limit only falls.
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

// onlyHealthChecksLeft reports whether no connection is left but health checks.
func (t *connectionTable) onlyHealthChecksLeft() bool {
	for _, c := range t.byID {
		if c.role != healthCheckRole {
			return false
		}
	}
	return true
}
