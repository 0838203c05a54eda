package livesettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/node/live"
)

// The files in testdata/golden were written by the build of revision 5fa7498, which is in service, or are read by it with
// the values that the tests expect. They must not change, because documents are kept over upgrades, and because processes
// of different versions exchange entries and settings. The tests deliberately have no option to rewrite them.
const goldenDirectory = "testdata/golden"

// requireGolden fails unless got is byte for byte the content of a golden file.
func requireGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	want := readGolden(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs.\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(goldenDirectory, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// requireEveryFieldSet fails for each field, element or map value that is zero, at any depth. Without it, a field that is
// omitted from the encoded form when it is empty could be renamed without a test failure.
func requireEveryFieldSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is zero", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		requireEveryFieldSet(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			requireEveryFieldSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		for i := range v.Len() {
			requireEveryFieldSet(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			requireEveryFieldSet(t, fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
		}
	}
}

func pointer[T any](value T) *T { return &value }

// goldenSettings returns the settings in every_key.toml.
func goldenSettings() Settings {
	return Settings{
		MaxRetryAfter:  pointer(12.5),
		PollInterval:   pointer(8.0),
		Nodes:          pointer(860),
		Discovery:      pointer("127.0.0.1:8500"),
		MaxAttempts:    pointer(2),
		MaxDescriptors: pointer(4096),
		SlowStart: live.SlowStart{Share: pointer(0.125), Duration: pointer(30.0), OverloadMultiple: pointer(3.0),
			OverloadWindow: pointer(1.5)},
		Tenants: map[string]live.Tenant{
			"red":           {Connections: pointer(20000)},
			"green.b <&> ñ": {Connections: pointer(1000000000)},
		},
		Types: map[string]live.ServiceType{
			"chat":       {SetupObjective: pointer(0.5), MessageObjective: pointer(0.25)},
			"feed watch": {SetupObjective: pointer(600.0), MessageObjective: pointer(0.0625)},
		},
		Hosts: map[string]live.Host{
			"s-5be2a07c": {DisabledUntil: pointer(1764650000.5), Weight: pointer(0.5)},
			"s.2":        {DisabledUntil: pointer(4102444800.0), Weight: pointer(1e6)},
		},
	}
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

func decode(t *testing.T, name string, into any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(readGolden(t, name)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Fatal(err)
	}
}

// A change to the form of entries or settings would be rejected or misread by processes of other versions. A document with
// every key has to become the golden entries, and these the golden settings.
func TestDocumentWithEveryKeyMatchesGoldenFiles(t *testing.T) {
	entries, err := Parse("every_key.toml", readGolden(t, "every_key.toml"))
	if err != nil {
		t.Fatal(err)
	}
	requireGolden(t, "entries.json", encode(t, entries))
	for _, k := range keys {
		count := 0
		for _, entry := range entries {
			if _, matches := k.match(entry.Key); matches {
				count++
			}
		}
		if count == 0 {
			t.Errorf("the document has no %s", k.pattern)
		}
	}

	var decodedEntries []configfeed.Entry
	decode(t, "entries.json", &decodedEntries)
	requireGolden(t, "entries.json", encode(t, decodedEntries))
	settings, err := Decode(decodedEntries)
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenSettings(); !reflect.DeepEqual(settings, want) {
		t.Errorf("got %s, want %s", encode(t, settings), encode(t, want))
	}
	requireEveryFieldSet(t, "settings", reflect.ValueOf(settings))
	requireGolden(t, "settings.json", encode(t, settings))

	var decodedSettings Settings
	decode(t, "settings.json", &decodedSettings)
	if !reflect.DeepEqual(decodedSettings, settings) {
		t.Errorf("got %s, want %s", encode(t, decodedSettings), encode(t, settings))
	}
	requireGolden(t, "settings.json", encode(t, decodedSettings))
}

// A process passes its revision to its successor, which may have another version, so the encoded form is fixed.
func TestRevisionMatchesGoldenFile(t *testing.T) {
	state := json.RawMessage(`{"version":{"epoch":2,"revision":17},"entries":[{"key":"nodes","value":"860"}],"digest":"10311620094392125544"}`)
	revision := live.Revision{Epoch: 2, Number: 17, Settings: goldenSettings(), State: state}
	requireEveryFieldSet(t, "revision", reflect.ValueOf(revision))
	encoded, err := json.Marshal(revision)
	if err != nil {
		t.Fatal(err)
	}
	requireGolden(t, "revision.json", encoded)

	var decoded live.Revision
	decode(t, "revision.json", &decoded)
	if !reflect.DeepEqual(decoded, revision) {
		t.Errorf("got %+v, want %+v", decoded, revision)
	}
	again, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	requireGolden(t, "revision.json", again)
}

// A renamed key, another unit or a narrower range would invalidate existing documents. A new key gets its own line in the
// golden file.
func TestKeysMatchGoldenFile(t *testing.T) {
	var text bytes.Buffer
	for _, k := range keys {
		fmt.Fprintf(&text, "%s unit=%q low=%s high=%s whole=%t number=%t text=%t\n", k.pattern, k.unit, formatNumber(k.min),
			formatNumber(k.max), k.integer, k.setNumber != nil, k.setText != nil)
	}
	requireGolden(t, "keys.txt", text.Bytes())
}

// Operators would look for a typing error if a key of the startup configuration were rejected as unknown. Keys that need a
// restart, or have another name in the document, have to be rejected with their own reasons.
func TestKeysThatAreNotLiveMatchGoldenFile(t *testing.T) {
	var text bytes.Buffer
	for _, key := range []string{"name", "listen", "admin_addr", "peer_addr", "peers", "seed", "fleet", "known", "settings",
		"limits.cores", "limits.memory_mb", "limits.dial_timeout_us", "limits.peers", "limits.probes", "limits.retry_after",
		"family_info", "granularity_us", "membership_mode", "parties", "reporting", "me", "zones",
		"service_types.chat.name", "service_types.chat.effect", "service_types.chat.group",
		"service_types.chat.give_up_us", "service_types.chat.memory_span_us", "siblings", "limits.max_retry_after_us",
		"invariants.ask_within_us", "invariants.cold_from", "invariants.cold_us", "invariants.fall_multiple",
		"invariants.fall_us", "service_types.chat.setup_target_us", "zones.east", "none", "limits.none", "limits", "hosts"} {
		fmt.Fprintf(&text, "%s: %s\n", key, rejectionReason(key))
	}
	requireGolden(t, "not_live.txt", text.Bytes())
}
