package emulator

import (
	"fmt"
	"strings"

	"gorseledge/internal/strict"
)

// bound is a number in a script and its allowed range, both ends included.
type bound struct {
	place strict.Place
	value float64
	least float64
	most  float64
}

// check returns an error and its place in the script if the script cannot be run.
func (s Scenario) check() (strict.Place, error) {
	bounds := s.bounds()
	for i, t := range s.Traffic {
		if place, err := t.check(i); err != nil {
			return place, err
		}
		bounds = append(bounds, t.bounds(i)...)
	}
	for i, f := range s.Faults {
		if place, err := f.check(i, s.Fleet); err != nil {
			return place, err
		}
		bounds = append(bounds, f.bounds(i, s.Duration)...)
	}
	return checkBounds(bounds)
}

// checkBounds returns an error for the first number outside its range. NaN is outside every range.
func checkBounds(bounds []bound) (strict.Place, error) {
	for _, b := range bounds {
		if !(b.value >= b.least && b.value <= b.most) {
			return b.place, fmt.Errorf("%s must be between %v and %v, got %v", b.place.Key, b.least, b.most, b.value)
		}
	}
	return strict.Place{}, nil
}

// bounds returns the allowed ranges of all numbers except those of traffic and faults.
func (s Scenario) bounds() []bound {
	top := func(key string) strict.Place { return strict.Place{Key: key} }
	fleet := func(key string) strict.Place { return strict.Place{Table: "fleet", Key: key} }
	network := func(key string) strict.Place { return strict.Place{Table: "network", Key: key} }
	rule := func(key string) strict.Place { return strict.Place{Table: "rules", Key: key} }
	return []bound{
		{top("lasts"), s.Duration, 1, 1e5},
		{top("settle"), s.Settle, 0, 1e3},
		{top("drawn_faults"), float64(s.GeneratedFaults), 0, 1e3},
		{fleet("nodes"), float64(s.Fleet.Nodes), 1, 2000},
		{fleet("hosts"), float64(s.Fleet.Hosts), 0, 5000},
		{fleet("zones"), float64(s.Fleet.Zones), 1, 100},
		{fleet("capacity"), s.Fleet.Capacity, 1e-3, 1e4},
		{fleet("uneven"), s.Fleet.CapacitySpread, 0, 0.9},
		{fleet("cold_from"), s.Fleet.SlowStartFrom, 0.01, 1},
		{fleet("cold_for"), s.Fleet.SlowStartTime, 0, 1e4},
		{fleet("roster_delay"), s.Fleet.ListDelay, 0, 1e3},
		{fleet("roster_calls"), s.Fleet.ListCallRate, 0.1, 1e6},
		{fleet("store"), s.Fleet.StoreCallLimit, 0, 1e6},
		{fleet("node_cpu"), s.Fleet.InputTime, 0, 1},
		{fleet("sockets"), float64(s.Fleet.MaxDescriptors), 32, 1e6},
		{network("near"), s.Network.DelayWithinZone, 0, 10},
		{network("far"), s.Network.DelayBetweenZones, 0, 10},
		{network("jitter"), s.Network.Jitter, 0, 10},
		{network("bandwidth"), s.Network.Bandwidth, 0, 1e12},
		{network("pieces"), s.Network.SplitChance, 0, 1},
		{rule("drain_grace"), s.Rules.DrainGrace, 0, 100},
		{rule("answer_slack"), s.Rules.AnswerSlack, 0, 10},
		{rule("fall_multiple"), s.Rules.FallMultiple, 1, 1e3},
		{rule("fall_for"), s.Rules.FallTime, 0.01, 100},
		{rule("max_connects"), float64(s.Rules.MaxAttempts), 1, 100},
		{rule("retry_after"), s.Rules.RetryAfter, 0, 100},
		{rule("ask_within"), s.Rules.PollWithin, 0, 1e4},
		{rule("dial_timeout"), s.Rules.DialTimeout, 1e-3, 100},
	}
}

// check returns an error and its place in the script if the name or the idempotency of the service type is invalid.
func (t Traffic) check(index int) (strict.Place, error) {
	place := func(key string) strict.Place { return strict.Place{Table: "traffic", Index: index, Key: key} }
	if t.Name == "" || strings.ContainsAny(t.Name, " ,=\r\n") {
		return place("name"), fmt.Errorf("name of a service type must be one word without commas and equals signs, got %q", t.Name)
	}
	if _, known := nodeIdempotency[t.Idempotency]; !known {
		return place("effect"), fmt.Errorf("effect must be repeatable, referenced or once-only, got %q", t.Idempotency)
	}
	return strict.Place{}, nil
}

// bounds returns the allowed ranges of the service type's numbers.
func (t Traffic) bounds(index int) []bound {
	place := func(key string) strict.Place { return strict.Place{Table: "traffic", Index: index, Key: key} }
	return []bound{
		{place("rate"), t.Rate, 0, 1e5},
		{place("lives"), t.MeanLifetime, 0.01, 1e5},
		{place("load"), t.Load, 0, 1e3},
		{place("target"), t.SetupObjective, 1e-3, 1e3},
		{place("timeout"), t.ConnectTimeout, 1e-2, 1e3},
		{place("message"), t.MessageObjective, 0, 1e3},
		{place("value"), t.PriorityWeight, 0, 1e6},
		{place("group"), float64(t.GroupSize), 0, 1e5},
		{place("retries"), float64(t.Retries), 0, 100},
		{place("backoff"), t.Backoff, 0, 1e3},
		{place("heeds"), t.RetryAfterShare, 0, 1},
		{place("memory_span"), t.MemorySpan, 0, 1e4},
	}
}
