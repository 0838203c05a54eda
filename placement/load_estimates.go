package placement

import "cmp"

const (
	// initialLoad is the load of a connection before any was reported. Loads are only compared with one another.
	initialLoad = 0.02
	// maxRecentLoads bounds the memory: older loads are dropped when this many clients have reported recent ones.
	maxRecentLoads = 5000
	// usualLoadWeight is the inverse weight of one report in the usual load of a service type.
	usualLoadWeight = 32
)

// loadEstimates is what connections are expected to ask of their servers.
type loadEstimates struct {
	usual  []float64          // by service type; 0 before any report
	recent map[uint64]float64 // by hash of the client key: the last reported load
	older  map[uint64]float64 // the same, before recent was last emptied
}

func newLoadEstimates(serviceTypes int) loadEstimates {
	return loadEstimates{usual: make([]float64, serviceTypes), recent: map[uint64]float64{}}
}

// ReportLoad reports the load of an established connection, as a share of a server's capacity or in any other
// unit that all connections share. A negative load and NaN are ignored.
func (b *Balancer) ReportLoad(id int, load float64) {
	if !b.isLive(id) || b.flows[id].migrated || !(load >= 0) {
		return
	}
	f := &b.flows[id]
	if f.inFlight {
		b.servers[f.server].assignedLoad += load - f.load
	}
	f.load = load
	b.loads.add(f, load)
}

// add takes the reported load of a flow. The first report of all stands for every type that has none of its own.
func (l *loadEstimates) add(f *flow, load float64) {
	if len(l.recent) >= maxRecentLoads {
		l.older = l.recent
		l.recent = map[uint64]float64{}
	}
	l.recent[f.clientHash] = load
	for serviceType := range l.usual {
		if l.usual[serviceType] == 0 {
			l.usual[serviceType] = load
		}
	}
	l.usual[f.serviceType] += (load - l.usual[f.serviceType]) / usualLoadWeight
}

func (b *Balancer) usualLoad(serviceType int) float64 {
	return cmp.Or(b.loads.usual[serviceType], initialLoad)
}

// meanUsualLoad returns the mean of the usual loads of all service types.
func (b *Balancer) meanUsualLoad() float64 {
	mean := 0.0
	for serviceType := range b.ServiceTypes {
		mean += b.usualLoad(serviceType) / float64(len(b.ServiceTypes))
	}
	return mean
}

// expectedLoad returns what a flow is expected to ask: what its client asked last, what came with it, or what is
// usual for its type.
func (b *Balancer) expectedLoad(f *flow) float64 {
	return cmp.Or(b.loads.recent[f.clientHash], b.loads.older[f.clientHash], f.load, b.usualLoad(f.serviceType))
}
