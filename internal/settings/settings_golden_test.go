package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gorseledge/placement"
)

// testdata/settings.json has every key of the settings object that revision 5fa7498 decodes. Deployments and the simulator use
// these keys, so the file must never change, and no flag rewrites it. testdata/drain-grace.json has a key that was added later.

func goldenSettings(t *testing.T) []byte {
	t.Helper()
	return readGolden(t, "settings.json")
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// decodeStrictly decodes a golden file into settings, which keep the values of keys that the file does not have.
func decodeStrictly(t *testing.T, text []byte, settings *object) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		t.Fatal(err)
	}
}

// checkNonZero fails the test if v, or any field or element in it, is zero. path is the name of v in failure messages.
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

// A renamed or removed key would silently turn the setting of a deployment into a zero value. The golden settings have a value
// for each key and nothing else, and are the same after they are decoded and encoded again.
func TestGoldenSettingsHaveEveryKey(t *testing.T) {
	text := goldenSettings(t)
	var settings object
	decodeStrictly(t, text, &settings)
	again, err := json.Marshal(settings)
	if err != nil || string(again)+"\n" != string(text) {
		t.Errorf("error %v, encoded again:\n%s\nwant:\n%s", err, again, text)
	}
	decodeStrictly(t, readGolden(t, "drain-grace.json"), &settings)
	checkNonZero(t, "settings", reflect.ValueOf(settings))
}

// A wrong unit of the grace would make a node ask its agent too late, or without a pause.
func TestGoldenDrainGraceIsRead(t *testing.T) {
	_, listener, err := Parse(readGolden(t, "drain-grace.json"), 1)
	if err != nil || listener.DrainGrace != 0.40625 {
		t.Errorf("grace %g s, error %v, want 0.40625 s", listener.DrainGrace, err)
	}
}

// A key that is decoded into the wrong field or with the wrong unit would change the decisions of every deployment. Each value
// of the golden settings is found in the right field.
func TestGoldenSettingsAreRead(t *testing.T) {
	settings, listener, err := Parse(goldenSettings(t), 18446744073709551615)
	if err != nil {
		t.Fatal(err)
	}
	wantSettings := placement.Settings{
		Seed: 18446744073709551615, Nodes: 3, NodeNumber: 2, Tick: 0.0078125, MaxAttempts: 5, HealthChecks: true, MaxRetryAfter: 2,
		WatchEndpoints: true, PollInterval: 10, LoadReports: true, LoadGossip: true, SlowStartFraction: 0.375, SlowStartTime: 8, OverloadMultiple: 4.5,
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
	wantListener := ListenerSettings{
		ReportFields: []string{"x0", "x1"}, ServiceTypes: []string{"chat", "order", "pay"}, Tenants: []string{"acme", "beta"},
		Zones: []string{"a", "b"}, DialTimeout: 0.375, MaxConnectTimeout: 4.5, ReportsLoad: true, ReportsDelay: true, PassThrough: true,
	}
	if !reflect.DeepEqual(listener, wantListener) {
		t.Errorf("read %+v, want %+v", listener, wantListener)
	}
}

// The golden settings have only one value of each setting that selects among alternatives. The other values are decoded too.
func TestGoldenSettingsOfOtherChoices(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		settings       func(*placement.Settings)
		listener       func(*ListenerSettings)
	}{
		{"pushed lists", `"membership_mode":"subscribe"`, `"membership_mode":"automatic"`,
			func(s *placement.Settings) { s.WatchEndpoints = false }, func(d *ListenerSettings) { d.ListPushed = true }},
		{"polled lists", `"membership_mode":"subscribe"`, `"membership_mode":"poll"`,
			func(s *placement.Settings) { s.WatchEndpoints = false }, nil},
		{"connections terminated at the node", `"mode":"pass"`, `"mode":"end"`, nil,
			func(d *ListenerSettings) { d.PassThrough = false }},
		{"no load reports", `"source":"on_probe"`, `"source":"none"`,
			func(s *placement.Settings) { s.LoadReports = false }, nil},
		{"no Retry-After", `"retry_after":true`, `"retry_after":false`,
			func(s *placement.Settings) { s.MaxRetryAfter = 0 }, nil},
		{"no node number", `,"me":2`, ``, func(s *placement.Settings) { s.NodeNumber = -1 }, nil},
		{"service type without effect and group", `"effect":"repeatable","group":"all",`, ``,
			func(s *placement.Settings) {
				s.ServiceTypes[0].Idempotency, s.ServiceTypes[0].KeyScope = placement.AtMostOnce, placement.KeyScopeCell
			}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := goldenSettings(t)
			changed := bytes.Replace(text, []byte(c.from), []byte(c.to), 1)
			if bytes.Equal(changed, text) {
				t.Fatalf("the golden settings do not contain %s", c.from)
			}
			want, wantListener, err := Parse(text, 9)
			if err != nil {
				t.Fatal(err)
			}
			if c.settings != nil {
				c.settings(&want)
			}
			if c.listener != nil {
				c.listener(&wantListener)
			}
			got, gotListener, err := Parse(changed, 9)
			if err != nil || !reflect.DeepEqual(got, want) || !reflect.DeepEqual(gotListener, wantListener) {
				t.Errorf("error %v, read %+v and %+v, want %+v and %+v", err, got, gotListener, want, wantListener)
			}
		})
	}
}
