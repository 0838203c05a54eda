package rundown

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
	var settings start
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
	settings, rest, err := Read(goldenSettings(t), 18446744073709551615)
	if err != nil {
		t.Fatal(err)
	}
	wantSettings := placement.Rundown{
		Seed: 18446744073709551615, Nodes: 3, Self: 2, Tick: 0.0078125, MaxConnects: 5, Probes: true, RetryAdvice: 2,
		Subscribe: true, AskWithin: 10, Reports: true, Peers: true, ColdFrom: 0.375, ColdFor: 8, FallMultiple: 4.5,
		FallFor: 1.5, Quotas: []float64{90, 60.5},
		Types: []placement.ServiceType{
			{Effect: placement.Repeatable, Group: placement.GroupAll, MemorySpan: 5, SetupTarget: 0.5, MessageAim: 0.0625},
			{Effect: placement.Referenced, Group: placement.GroupZone, MemorySpan: 6, SetupTarget: 0.75, MessageAim: 0.25},
			{Effect: placement.OnceOnly, Group: placement.GroupCell, MemorySpan: 7, SetupTarget: 0.875, MessageAim: 0.125},
		},
	}
	if !reflect.DeepEqual(settings, wantSettings) {
		t.Errorf("read %+v, want %+v", settings, wantSettings)
	}
	wantRest := Door{
		Fields: []string{"x0", "x1"}, Types: []string{"chat", "order", "pay"}, Tenants: []string{"acme", "beta"},
		Zones: []string{"a", "b"}, DialTimeout: 0.375, Longest: 4.5, TellsLoad: true, TellsDelay: true, PassThrough: true,
	}
	if !reflect.DeepEqual(rest, wantRest) {
		t.Errorf("read %+v, want %+v", rest, wantRest)
	}
}

// Words that stand for a choice, beside those of the golden settings.
func TestGoldenSettingsOfOtherChoices(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		settings       func(*placement.Rundown)
		rest           func(*Door)
	}{
		{"pushed lists", `"membership_mode":"subscribe"`, `"membership_mode":"automatic"`,
			func(s *placement.Rundown) { s.Subscribe = false }, func(d *Door) { d.Pushed = true }},
		{"polled lists", `"membership_mode":"subscribe"`, `"membership_mode":"poll"`,
			func(s *placement.Rundown) { s.Subscribe = false }, nil},
		{"connections that end at the node", `"mode":"pass"`, `"mode":"end"`, nil,
			func(d *Door) { d.PassThrough = false }},
		{"no load reports", `"source":"on_probe"`, `"source":"none"`,
			func(s *placement.Rundown) { s.Reports = false }, nil},
		{"no retry times", `"retry_after":true`, `"retry_after":false`,
			func(s *placement.Rundown) { s.RetryAdvice = 0 }, nil},
		{"no number of its own", `,"me":2`, ``, func(s *placement.Rundown) { s.Self = -1 }, nil},
		{"a type without an effect and a group", `"effect":"repeatable","group":"all",`, ``,
			func(s *placement.Rundown) {
				s.Types[0].Effect, s.Types[0].Group = placement.OnceOnly, placement.GroupCell
			}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := goldenSettings(t)
			changed := bytes.Replace(text, []byte(c.from), []byte(c.to), 1)
			if bytes.Equal(changed, text) {
				t.Fatalf("the golden settings have no %s", c.from)
			}
			want, wantRest, err := Read(text, 9)
			if err != nil {
				t.Fatal(err)
			}
			if c.settings != nil {
				c.settings(&want)
			}
			if c.rest != nil {
				c.rest(&wantRest)
			}
			got, gotRest, err := Read(changed, 9)
			if err != nil || !reflect.DeepEqual(got, want) || !reflect.DeepEqual(gotRest, wantRest) {
				t.Errorf("%v, read %+v and %+v, want %+v and %+v", err, got, gotRest, want, wantRest)
			}
		})
	}
}
