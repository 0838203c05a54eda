package placement

import (
	"cmp"

	"gorseledge/internal/generations"
)

const (
	// initialLoad is the assumed load of a connection before any load was reported. Its unit does not matter, because
	// loads are only compared with one another.
	initialLoad = 0.02
	// maxRecentLoads bounds the memory for client loads: the loads of at least so many clients are kept.
	maxRecentLoads = 5000
	// usualLoadDivisor is the divisor of one report in the moving average that is the usual load of a service type.
	usualLoadDivisor = 32
)

// loadEstimates holds the expected loads of connections, from the loads that were reported.
type loadEstimates struct {
	usual    []float64                // usual load by service type; 0 before any report
	byClient generations.Map[float64] // last reported load by hash of the client key
}

func newLoadEstimates(serviceTypes int) loadEstimates {
	return loadEstimates{usual: make([]float64, serviceTypes), byClient: generations.New[float64](maxRecentLoads)}
}

// ReportLoad reports the load of an established connection, as a fraction of a server's capacity or in any other unit
// that is the same for all connections. A negative load and NaN are ignored.
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

// add records the reported load of a flow. The first report is also used for every other service type until that has
// reports of its own.
func (l *loadEstimates) add(f *flow, load float64) {
	l.byClient.Set(f.clientHash, load)
	for serviceType := range l.usual {
		if l.usual[serviceType] == 0 {
			l.usual[serviceType] = load
		}
	}
	l.usual[f.serviceType] += (load - l.usual[f.serviceType]) / usualLoadDivisor
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

// expectedLoad returns the load that a flow is expected to have: the last one that was reported for its client, the one
// given on arrival, or the usual one of its service type.
func (b *Balancer) expectedLoad(f *flow) float64 {
	recent, older := b.loads.byClient.Values(f.clientHash)
	return cmp.Or(recent, older, f.load, b.usualLoad(f.serviceType))
}
