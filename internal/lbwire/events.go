package lbwire

import (
	"fmt"
	"math"

	"gorseledge/internal/peers"
	"gorseledge/internal/settings"
	"gorseledge/placement"
)

// handleEvent passes one event to its instance. Events of instances that are not running are ignored.
func (s *session) handleEvent(now float64, record, tail []byte) error {
	code, id := eventCode(record[0]), byteOrder.Uint16(record[1:])
	switch code {
	case eventInstanceStart:
		return s.startInstance(id, record, tail)
	case eventInstanceKilled:
		delete(s.instances, id)
		return nil
	}
	if code == 0 || code > eventInstanceKilled {
		return fmt.Errorf("unknown event code %d", code)
	}
	in := s.instances[id]
	if in == nil {
		return nil
	}
	if n := len(s.order); n == 0 || s.order[n-1] != id {
		s.order = append(s.order, id)
	}
	return in.handleEvent(now, code, record, tail)
}

// startInstance starts an instance. It replaces any instance with the same id.
func (s *session) startInstance(id uint16, record, tail []byte) error {
	text, err := tailPart(record[11:], tail, 1)
	if err != nil {
		return err
	}
	balancerSettings, listenerSettings, err := settings.Parse(text, byteOrder.Uint64(record[3:]))
	if err != nil {
		return err
	}
	if balancerSettings.NodeNumber < 0 {
		balancerSettings.NodeNumber = int(id)
	}
	s.instances[id] = newInstance(balancerSettings, listenerSettings.ReportFields)
	s.order = append(s.order, id)
	return nil
}

// handleEvent passes one event to the balancer of the instance.
func (in *instance) handleEvent(now float64, code eventCode, record, tail []byte) error {
	id := byteOrder.Uint32(record[3:])
	attempt := int(byteOrder.Uint16(record[7:]))
	switch code {
	case eventFlow:
		if index, added := in.addFlow(id); added {
			in.balancer.AddFlow(now, index, arrivalOf(record))
		}
	case eventRestoredFlow:
		if index, added := in.addFlow(id); added {
			in.balancer.RestoreFlow(now, index, arrivalOf(record), in.hostIndex(byteOrder.Uint32(record[38:])))
		}
	case eventEstablished:
		in.balancer.Established(in.flowIndex(id), attempt)
	case eventAttemptEnded:
		outcome := outcomeOf(byteOrder.Uint16(record[13:]))
		in.balancer.AttemptEnded(now, in.flowIndex(id), attempt, outcome, record[19] != 0)
	case eventClientLeft:
		in.balancer.ClientLeft(in.flowIndex(id))
	case eventFlowNote:
		in.handleFlowNote(now, id, record)
	case eventGossip:
		return in.handleGossip(now, record, tail)
	case eventHealthChecked:
		in.handleHealthCheck(now, record)
	case eventWake:
		in.balancer.Woken(now)
	case eventEndpoints:
		return in.handleEndpoints(now, record, tail)
	}
	return nil
}

// handleFlowNote passes the reported load or message delay of an established flow to the balancer.
func (in *instance) handleFlowNote(now float64, id uint32, record []byte) {
	value := float32At(record[14:])
	switch record[7] {
	case noteLoad:
		in.balancer.ReportLoad(in.flowIndex(id), value*microsecond)
	case noteDelay:
		in.balancer.ReportDelay(now, in.flowIndex(id), value*millisecond)
	}
}

// handleGossip passes the load gossip of another instance to the balancer. Unknown hosts are ignored.
func (in *instance) handleGossip(now float64, record, tail []byte) error {
	text, err := tailPart(record[5:], tail, 1)
	if err != nil {
		return err
	}
	for _, load := range peers.Parse(text) {
		if index, known := in.hosts[load.Host]; known {
			in.balancer.GossipReceived(now, index, load.Load)
		}
	}
	return nil
}

// handleHealthCheck passes the result of a health check to the balancer, unless the host is unknown.
func (in *instance) handleHealthCheck(now float64, record []byte) {
	index, known := in.hosts[byteOrder.Uint32(record[9:])]
	if !known {
		return
	}
	outcome := outcomeOf(byteOrder.Uint16(record[3:]))
	in.balancer.HealthChecked(now, index, outcome, in.loadReportOf(record[13:]))
}

// loadReportOf decodes a load report, which is a number of figures followed by the figures. The load is -1 if the report has
// none.
func (in *instance) loadReportOf(field []byte) placement.LoadReport {
	report := placement.LoadReport{Load: -1}
	for i := range min(int(field[0]), len(in.reportFields), maxReportFigures) {
		if in.reportFields[i] == loadReportField {
			report.Load = float32At(field[1+reportFigureBytes*i:])
		}
	}
	return report
}

// arrivalOf decodes the properties of a new or restored flow.
func arrivalOf(record []byte) placement.Arrival {
	options := record[37]
	arrival := placement.Arrival{
		Type:      int(byteOrder.Uint16(record[7:])),
		Tenant:    int(byteOrder.Uint32(record[9:])),
		ClientKey: byteOrder.Uint64(record[13:]),
		Timeout:   float64(byteOrder.Uint32(record[21:])) * microsecond,
		GroupKey:  byteOrder.Uint64(record[29:]),
		MidFlow:   options&optionMidFlow != 0,
		Returning: options&optionReturning != 0,
	}
	if options&optionHasLoad != 0 {
		arrival.Load = float64(byteOrder.Uint32(record[25:])) * microsecond
	}
	return arrival
}

// handleEndpoints passes an endpoint list, or the failure to get one, to the balancer.
func (in *instance) handleEndpoints(now float64, record, tail []byte) error {
	kind, known := listKinds[record[7]]
	if !known {
		return fmt.Errorf("unknown kind of endpoint list %d", record[7])
	}
	entries, err := tailPart(record[8:], tail, endpointBytes)
	if err != nil {
		return err
	}
	endpoints := make([]placement.Endpoint, 0, len(entries)/endpointBytes)
	for ; len(entries) > 0; entries = entries[endpointBytes:] {
		endpoint, err := in.endpointOf(entries)
		if err != nil {
			return err
		}
		endpoints = append(endpoints, endpoint)
	}
	in.balancer.UpdateEndpoints(now, kind, endpoints)
	return nil
}

// endpointOf decodes one entry of an endpoint list.
func (in *instance) endpointOf(entry []byte) (placement.Endpoint, error) {
	state, known := endpointStates[entry[6]]
	if !known {
		return placement.Endpoint{}, fmt.Errorf("unknown server state %d in the endpoint list", entry[6])
	}
	host := byteOrder.Uint32(entry[16:])
	return placement.Endpoint{
		Server:    in.hostIndex(host),
		ID:        host,
		State:     state,
		StartedAt: float64(byteOrder.Uint64(entry[7:])) * microsecond,
		Zone:      int(byteOrder.Uint16(entry[4:])),
		Cell:      int(byteOrder.Uint16(entry[20:])),
		Size:      math.Max(float32At(entry), 0),
	}, nil
}
