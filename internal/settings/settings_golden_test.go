package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"

	"gorseledge/placement"
)

// testdata/settings.json has every key of the settings object that revision 5fa7498 reads. The keys are those of
// deployments and of the simulator, so the file is fixed for good: there is no flag that rewrites it.

func goldenSettings(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// checkNonZero fails the test where v, or a field of anything in it, has no value. path names v.
func checkNonZero(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s has no value", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		checkNonZero(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			checkNonZero(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			checkNonZero(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}

func TestGoldenSettingsHaveEveryKey(t *testing.T) {
	text := goldenSettings(t)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var settings object
	if err := decoder.Decode(&settings); err != nil {
		t.Fatal(err)
	}
	checkNonZero(t, "settings", reflect.ValueOf(settings))
	again, err := json.Marshal(settings)
	if err != nil || string(again)+"\n" != string(text) {
		t.Errorf("%v, encoded again:\n%s\nwant:\n%s", err, again, text)
	}
}

func TestGoldenSettingsAreRead(t *testing.T) {
	settings, rest, err := Parse(goldenSettings(t), 18446744073709551615)
	if err != nil {
		t.Fatal(err)
	}
	wantSettings := placement.Settings{
		Seed: 18446744073709551615, Nodes: 3, NodeNumber: 2, Tick: 0.0078125, MaxAttempts: 5, HealthChecks: true, MaxRetryAfter: 2,
		WatchEndpoints: true, PollInterval: 10, LoadReports: true, LoadGossip: true, SlowStartShare: 0.375, SlowStartTime: 8, OverloadMultiple: 4.5,
		OverloadWindow: 1.5, Quotas: []float64{90, 60.5},
		ServiceTypes: []placement.ServiceType{
			{Idempotency: placement.Idempotent, KeyScope: placement.KeyScopeAll, KeyLifetime: 5, SetupObjective: 0.5, MessageObjective: 0.0625},
			{Idempotency: placement.IdempotentWithKey, KeyScope: placement.KeyScopeZone, KeyLifetime: 6, SetupObjective: 0.75, MessageObjective: 0.25},
			{Idempotency: placement.AtMostOnce, KeyScope: placement.KeyScopeCell, KeyLifetime: 7, SetupObjective: 0.875, MessageObjective: 0.125},
		},
	}
	if !reflect.DeepEqual(settings, wantSettings) {
		t.Errorf("read %+v, want %+v", settings, wantSettings)
	}
	wantRest := ListenerSettings{
		ReportFields: []string{"x0", "x1"}, ServiceTypes: []string{"chat", "order", "pay"}, Tenants: []string{"acme", "beta"},
		Zones: []string{"a", "b"}, DialTimeout: 0.375, MaxConnectTimeout: 4.5, ReportsLoad: true, ReportsDelay: true, PassThrough: true,
	}
	if !reflect.DeepEqual(rest, wantRest) {
		t.Errorf("read %+v, want %+v", rest, wantRest)
	}
}

// Words that stand for a choice, beside those of the golden settings.
func TestGoldenSettingsOfOtherChoices(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		settings       func(*placement.Settings)
		rest           func(*ListenerSettings)
	}{
		{"pushed lists", `"membership_mode":"subscribe"`, `"membership_mode":"automatic"`,
			func(s *placement.Settings) { s.WatchEndpoints = false }, func(d *ListenerSettings) { d.ListPushed = true }},
		{"polled lists", `"membership_mode":"subscribe"`, `"membership_mode":"poll"`,
			func(s *placement.Settings) { s.WatchEndpoints = false }, nil},
		{"connections that end at the node", `"mode":"pass"`, `"mode":"end"`, nil,
			func(d *ListenerSettings) { d.PassThrough = false }},
		{"no load reports", `"source":"on_probe"`, `"source":"none"`,
			func(s *placement.Settings) { s.LoadReports = false }, nil},
		{"no retry times", `"retry_after":true`, `"retry_after":false`,
			func(s *placement.Settings) { s.MaxRetryAfter = 0 }, nil},
		{"no number of its own", `,"me":2`, ``, func(s *placement.Settings) { s.NodeNumber = -1 }, nil},
		{"a type without an effect and a group", `"effect":"repeatable","group":"all",`, ``,
			func(s *placement.Settings) {
				s.ServiceTypes[0].Idempotency, s.ServiceTypes[0].KeyScope = placement.AtMostOnce, placement.KeyScopeCell
			}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := goldenSettings(t)
			changed := bytes.Replace(text, []byte(c.from), []byte(c.to), 1)
			if bytes.Equal(changed, text) {
				t.Fatalf("the golden settings have no %s", c.from)
			}
			want, wantRest, err := Parse(text, 9)
			if err != nil {
				t.Fatal(err)
			}
			if c.settings != nil {
				c.settings(&want)
			}
			if c.rest != nil {
				c.rest(&wantRest)
			}
			got, gotRest, err := Parse(changed, 9)
			if err != nil || !reflect.DeepEqual(got, want) || !reflect.DeepEqual(gotRest, wantRest) {
				t.Errorf("%v, read %+v and %+v, want %+v and %+v", err, got, gotRest, want, wantRest)
			}
		})
	}
}
