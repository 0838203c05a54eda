// Package settings reads the settings object that a node or a simulated instance is given at its start: for the
// balancer (placement.Settings) and for what carries its decisions out (ListenerSettings). It owns the mapping from the
// object's keys, names of choices and microseconds to the terms and seconds of the code. It sets no defaults.
package settings

import (
	"encoding/json"
	"errors"
	"math"

	"gorseledge/placement"
)

const (
	microsecond = 1e-6    // s
	maxCount    = 1 << 20 // of nodes, attempts or a node's number
	noNumber    = -1      // a node's number where the settings do not give it
)

// rootKey is the key of the whole object in the messages of a KeyError.
const rootKey = "settings"

// ListenerSettings is what a node needs of the settings beside the balancer's: names and limits of connections. Times are
// in seconds. The zero value has no service types, tenants and zones, and no limits.
type ListenerSettings struct {
	ReportFields      []string // names of a load report's figures, in their order
	ServiceTypes      []string // names, by the balancer's index
	Tenants           []string // names, by the balancer's index
	Zones             []string // names, by the balancer's index
	DialTimeout       float64  // a connection that is not up by then never comes up
	MaxConnectTimeout float64  // the longest connect timeout of a client
	ReportsLoad       bool     // hosts report a connection's load
	ReportsDelay      bool     // hosts report how long a message takes
	ListPushed        bool     // lists come on their own, to an agent on the node's machine
	PassThrough       bool     // packets pass through: connections outlive the node
}

// KeyError tells what of the settings cannot be taken, and why.
type KeyError struct {
	Key    string // with dots and indices, from "settings" on
	Reason string
}

// Error gives the key and the reason.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// Parse reads the settings of a start. What cannot be taken is a *KeyError. Keys that are not known are skipped, and what
// is missing is zero, but for the node's number, which is -1.
func Parse(text []byte, seed uint64) (placement.Settings, ListenerSettings, error) {
	var o object
	if err := json.Unmarshal(text, &o); err != nil {
		return placement.Settings{}, ListenerSettings{}, &KeyError{Key: keyOf(err), Reason: err.Error()}
	}
	if err := o.check(); err != nil {
		return placement.Settings{}, ListenerSettings{}, err
	}
	return o.balancerSettings(seed), o.listenerSettings(), nil
}

// keyOf gives the key at which decoding failed.
func keyOf(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return rootKey + "." + typeError.Field
	}
	return rootKey
}

// Validate tells of settings that no deployment has together, as a *KeyError: a node must not start on half of one
// deployment's and half of another's.
func Validate(s placement.Settings) error {
	if s.LoadReports && !s.HealthChecks {
		return &KeyError{
			Key:    rootKey + ".reporting.source",
			Reason: "reports come on probes, and settings.limits.probes allows none",
		}
	}
	return nil
}

// balancerSettings gives what the balancer is configured with.
func (o *object) balancerSettings(seed uint64) placement.Settings {
	s := placement.Settings{
		Seed:             seed,
		Nodes:            count(o.Nodes),
		NodeNumber:       noNumber,
		Tick:             seconds(o.Tick),
		MaxAttempts:      count(o.Limits.MaxAttempts),
		HealthChecks:     o.Limits.HealthChecks,
		WatchEndpoints:   o.ListMode == listModeWatched,
		PollInterval:     seconds(o.Invariants.PollInterval),
		SlowStartShare:   o.Invariants.SlowStartShare,
		SlowStartTime:    seconds(o.Invariants.SlowStartTime),
		OverloadMultiple: o.Invariants.OverloadMultiple,
		OverloadWindow:   seconds(o.Invariants.OverloadWindow),
		LoadReports:      o.Reporting.Source == reportsWithHealthChecks,
		LoadGossip:       o.Limits.LoadGossip,
		Quotas:           o.Family.Quotas,
	}
	if o.NodeNumber != nil {
		s.NodeNumber = count(*o.NodeNumber)
	}
	if o.Limits.RetryAfter {
		s.MaxRetryAfter = seconds(o.Limits.MaxRetryAfter)
	}
	for i, t := range o.ServiceTypes {
		serviceType := placement.ServiceType{
			Idempotency:    idempotencies[t.Effect],
			KeyScope:       keyScopes[t.KeyScope],
			KeyLifetime:    seconds(t.KeyLifetime),
			SetupObjective: seconds(t.SetupObjective),
		}
		if i < len(o.Family.MessageObjectives) {
			serviceType.MessageObjective = seconds(o.Family.MessageObjectives[i])
		}
		s.ServiceTypes = append(s.ServiceTypes, serviceType)
	}
	return s
}

// listenerSettings gives what a node needs beside the balancer's settings.
func (o *object) listenerSettings() ListenerSettings {
	s := ListenerSettings{
		ReportFields: o.Reporting.Fields,
		Zones:        o.Zones,
		DialTimeout:  seconds(o.Limits.DialTimeout),
		ReportsLoad:  o.Family.ReportsLoad,
		ReportsDelay: o.Family.ReportsDelay,
		PassThrough:  o.Family.Mode == modePassThrough,
		ListPushed:   o.ListMode == listModePushed,
	}
	for _, tenant := range o.Tenants {
		s.Tenants = append(s.Tenants, tenant.Name)
	}
	for _, t := range o.ServiceTypes {
		s.ServiceTypes = append(s.ServiceTypes, t.Name)
		s.MaxConnectTimeout = max(s.MaxConnectTimeout, seconds(t.MaxConnectTimeout))
	}
	return s
}

// seconds turns microseconds into seconds, 0 at least.
func seconds(microseconds float64) float64 { return math.Max(microseconds, 0) * microsecond }

// count turns a number into a count, from 0 to maxCount.
func count(number float64) int { return int(math.Min(math.Max(number, 0), maxCount)) }
