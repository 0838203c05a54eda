// Package settings decodes the JSON settings that a node or a simulated instance receives when it starts. It returns the
// settings of the balancer (placement.Settings) and those of the code that carries out the balancer's decisions
// (ListenerSettings). It maps the keys, values and microseconds of the JSON object to Go types and seconds, and sets no
// defaults.
package settings

import (
	"encoding/json"
	"errors"
	"math"

	"gorseledge/placement"
)

const (
	microsecond = 1e-6    // s
	maxCount    = 1 << 20 // largest number of nodes or attempts, and largest node number
	noNumber    = -1      // node number if the settings have none
)

// rootKey is the key of the whole settings object in a KeyError.
const rootKey = "settings"

// ListenerSettings holds the settings that a node needs in addition to the balancer's: names and limits of connections. Times
// are in seconds. The zero value has no service types, tenants or zones, and no limits.
type ListenerSettings struct {
	ReportFields      []string // names of the figures of a load report, in order
	ServiceTypes      []string // names of the service types, by the balancer's index
	Tenants           []string // names of the tenants, by the balancer's index
	Zones             []string // names of the zones, by the balancer's index
	DialTimeout       float64  // longest time to establish a connection; one that takes longer is never established
	MaxConnectTimeout float64  // longest connect timeout of any service type's clients
	DrainGrace        float64  // time after which a draining host gets nothing new; 0 if the settings have none
	ReportsLoad       bool     // hosts report the load of each connection
	ReportsDelay      bool     // hosts report message delays
	ListPushed        bool     // endpoint lists are pushed to an agent on the node's machine and need no polls
	PassThrough       bool     // packets are passed through, so connections survive the end of the node's process
}

// KeyError reports an invalid setting.
type KeyError struct {
	Key    string // path of the setting with dots and indices, starting with "settings"
	Reason string // what is wrong with the value
}

// Error returns the key and the reason.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// Parse decodes the settings with which a node or an instance starts. It returns a *KeyError if they are invalid. Unknown keys
// are ignored, and missing values are zero, except for a missing node number, which is -1.
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

// keyOf returns the key at which decoding failed.
func keyOf(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return rootKey + "." + typeError.Field
	}
	return rootKey
}

// Validate returns a *KeyError for a combination of settings that no deployment uses, so that a node does not start with
// settings that were mixed up from two deployments.
func Validate(s placement.Settings) error {
	if s.LoadReports && !s.HealthChecks {
		return &KeyError{
			Key:    rootKey + ".reporting.source",
			Reason: "load reports are sent with health checks, which settings.limits.probes does not allow",
		}
	}
	return nil
}

// balancerSettings returns the settings of the balancer.
func (o *object) balancerSettings(seed uint64) placement.Settings {
	s := placement.Settings{
		Seed:              seed,
		Nodes:             count(o.Nodes),
		NodeNumber:        noNumber,
		Tick:              seconds(o.Tick),
		MaxAttempts:       count(o.Limits.MaxAttempts),
		HealthChecks:      o.Limits.HealthChecks,
		WatchEndpoints:    o.ListMode == listModeWatched,
		PollInterval:      seconds(o.Invariants.PollInterval),
		SlowStartFraction: o.Invariants.SlowStartShare,
		SlowStartTime:     seconds(o.Invariants.SlowStartTime),
		OverloadMultiple:  o.Invariants.OverloadMultiple,
		OverloadWindow:    seconds(o.Invariants.OverloadWindow),
		LoadReports:       o.Reporting.Source == reportsWithHealthChecks,
		LoadGossip:        o.Limits.LoadGossip,
		Quotas:            o.Family.Quotas,
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

// listenerSettings returns the settings that a node needs in addition to the balancer's.
func (o *object) listenerSettings() ListenerSettings {
	s := ListenerSettings{
		ReportFields: o.Reporting.Fields,
		Zones:        o.Zones,
		DialTimeout:  seconds(o.Limits.DialTimeout),
		DrainGrace:   seconds(o.Invariants.DrainGrace),
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

// seconds converts microseconds to seconds, at least 0.
func seconds(microseconds float64) float64 { return math.Max(microseconds, 0) * microsecond }

// count converts a number to a count from 0 to maxCount.
func count(number float64) int { return int(math.Min(math.Max(number, 0), maxCount)) }
