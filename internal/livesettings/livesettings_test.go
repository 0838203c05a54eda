package livesettings

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gorseledge/internal/configfeed"
)

const completeDocument = `# every key of the document
retry_advice_s = 12.5
ask_within_s = 8
nodes = 860
discovery = "127.0.0.1:8500"

[limits]
max_connects = 2
sockets = 4096

[slow_start]
from = 0.1
for_s = 30
fall_multiple = 3.0
fall_for_s = 1.5

[tenants.red]
connections = 20_000

[tenants."green.b"]
connections = 0

[service_types.chat]
setup_target_s = 0.4
message_target_s = 0.2

[hosts.s-5be2a07c]
disabled_until_s = 1_764_650_000
weight = 0.5
`

// A key that is parsed but not stored in its setting would have no effect at the nodes. Every key has to be read, sorted by
// its dotted name and stored.
func TestCompleteDocumentSetsEveryKey(t *testing.T) {
	entries, err := Parse("live.toml", []byte(completeDocument))
	if err != nil {
		t.Fatal(err)
	}
	want := []configfeed.Entry{
		{Key: "ask_within_s", Value: "8"},
		{Key: "discovery", Value: `"127.0.0.1:8500"`},
		{Key: "hosts.s-5be2a07c.disabled_until_s", Value: "1764650000"},
		{Key: "hosts.s-5be2a07c.weight", Value: "0.5"},
		{Key: "limits.max_connects", Value: "2"},
		{Key: "limits.sockets", Value: "4096"},
		{Key: "nodes", Value: "860"},
		{Key: "retry_advice_s", Value: "12.5"},
		{Key: "service_types.chat.message_target_s", Value: "0.2"},
		{Key: "service_types.chat.setup_target_s", Value: "0.4"},
		{Key: "slow_start.fall_for_s", Value: "1.5"},
		{Key: "slow_start.fall_multiple", Value: "3"},
		{Key: "slow_start.for_s", Value: "30"},
		{Key: "slow_start.from", Value: "0.1"},
		{Key: "tenants.green.b.connections", Value: "0"},
		{Key: "tenants.red.connections", Value: "20000"},
	}
	if !slices.Equal(entries, want) {
		t.Fatalf("got\n%v\nwant\n%v", entries, want)
	}
	if err := Check(entries); err != nil {
		t.Fatal(err)
	}
	s, err := Decode(entries)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := json.Marshal(s)
	const settings = `{"retry_advice_s":12.5,"ask_within_s":8,"nodes":860,"discovery":"127.0.0.1:8500","max_connects":2,` +
		`"sockets":4096,"slow_start":{"from":0.1,"for_s":30,"fall_multiple":3,"fall_for_s":1.5},` +
		`"tenants":{"green.b":{"connections":0},"red":{"connections":20000}},` +
		`"service_types":{"chat":{"setup_target_s":0.4,"message_target_s":0.2}},` +
		`"hosts":{"s-5be2a07c":{"disabled_until_s":1764650000,"weight":0.5}}}`
	if string(text) != settings {
		t.Errorf("got\n%s\nwant\n%s", text, settings)
	}
	for _, k := range keys {
		if !slices.ContainsFunc(entries, func(e configfeed.Entry) bool { _, ok := k.match(e.Key); return ok }) {
			t.Errorf("completeDocument has no %s", k.pattern)
		}
	}
}

// A document without keys is valid: every setting keeps the value of the startup configuration.
func TestEmptyDocumentChangesNothing(t *testing.T) {
	entries, err := Parse("live.toml", []byte("# nothing yet\n"))
	if err != nil || len(entries) != 0 {
		t.Fatalf("%v, %v", entries, err)
	}
	if s, err := Decode(entries); err != nil || !reflect.DeepEqual(s, Settings{}) {
		t.Fatalf("%+v, %v", s, err)
	}
}

// rejectedDocument is a document that has to be rejected, with a part of the error after the file's name.
type rejectedDocument struct{ text, wantError string }

// requireRejected checks that each document is rejected with an error of one line that begins with the file's name and
// contains the expected text.
func requireRejected(t *testing.T, documents []rejectedDocument) {
	t.Helper()
	for _, document := range documents {
		t.Run(document.wantError, func(t *testing.T) {
			entries, err := Parse("live.toml", []byte(document.text))
			if err == nil || entries != nil || !strings.HasPrefix(err.Error(), "live.toml:") ||
				!strings.Contains(err.Error(), document.wantError) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: got error %v, want %q", document.text, err, document.wantError)
			}
		})
	}
}

// A misspelled key or table would silently have no effect if it were accepted.
func TestDocumentWithUnknownKeyIsRejected(t *testing.T) {
	requireRejected(t, []rejectedDocument{
		{"nodes = 3\nunheard_of = 1\n", "2: unheard_of: unknown key"},
		{"[limits]\nmax_connect = 1\n", "2: limits.max_connect: unknown key"},
		{"[hosts.s-1]\ncolour = \"red\"\n", "2: hosts.s-1.colour: unknown key"},
		{"[nowhere]\n", "1: nowhere: unknown key"},
		{"[hosts.s-1]\n", "1: hosts.s-1: the table is empty"},
		{"[limits]\n\n", "1: limits: the table is empty"},
		{"hosts = 3\n", "1: hosts: unknown key"},
	})
}

// A value of the wrong type or outside the key's range is most likely a mistake that would take effect at every node.
func TestDocumentWithInvalidValueIsRejected(t *testing.T) {
	requireRejected(t, []rejectedDocument{
		{"limits = { max_connects = 2,\n  sockets = 1 }\n", "2: limits.sockets: must be between 32 and 4194304 descriptors, got 1"},
		{"limits.max_connects = 0\n", "1: limits.max_connects: must be between 1 and 64 connects, got 0"},
		{"limits.max_connects = 2.5\n", "1: limits.max_connects: must be a whole number"},
		{"limits.max_connects = 2.0\nnodes = 2.5\n", "2: nodes: must be a whole number"},
		{"limits.max_connects = \"2\"\n", "1: limits.max_connects: must be a whole number"},
		{"retry_advice_s = -1\n", "1: retry_advice_s: must be between 0 and 600 s, got -1"},
		{"retry_advice_s = nan\n", "1: retry_advice_s: must be a number"},
		{"retry_advice_s = inf\n", "1: retry_advice_s: must be a number"},
		{"retry_advice_s = true\n", "1: retry_advice_s: must be a number"},
		{"retry_advice_s = [1.0]\n", "1: retry_advice_s: must be a number"},
		{"ask_within_s = 0.1\n", "1: ask_within_s: must be between 0.5 and 300 s, got 0.1"},
		{"ask_within_s = 301\n", "1: ask_within_s: must be between 0.5 and 300 s, got 301"},
		{"nodes = 0\n", "1: nodes: must be between 1 and 100000 nodes, got 0"},
		{"nodes = 100001\n", "1: nodes: must be between 1 and 100000 nodes, got 100001"},
		{"discovery = 7\n", "1: discovery: must be an address in quotes"},
		{"discovery = \"127.0.0.1\"\n", "1: discovery: must be HOST:PORT with a port between 1 and 65535"},
		{"discovery = \"127.0.0.1:0\"\n", "1: discovery: must be HOST:PORT"},
		{"discovery = \"127.0.0.1:65536\"\n", "1: discovery: must be HOST:PORT"},
		{"discovery = \"a host:80\"\n", "1: discovery: must be HOST:PORT"},
		{"[slow_start]\nfrom = 0\n", "2: slow_start.from: must be between 0.001 and 1 share, got 0"},
		{"[slow_start]\nfrom = 1.1\n", "2: slow_start.from: must be between 0.001 and 1 share, got 1.1"},
		{"[slow_start]\nfor_s = 3601\n", "2: slow_start.for_s: must be between 0.1 and 3600 s, got 3601"},
		{"[slow_start]\nfall_multiple = 0.9\n", "2: slow_start.fall_multiple: must be between 1 and 20 times, got 0.9"},
		{"[slow_start]\nfall_for_s = 61\n", "2: slow_start.fall_for_s: must be between 0.01 and 60 s, got 61"},
		{"[tenants.red]\nconnections = -1\n", "2: tenants.red.connections: must be between 0 and 1000000000 connections, got -1"},
		{"[tenants.red]\nconnections = 1000000001\n",
			"2: tenants.red.connections: must be between 0 and 1000000000 connections, got 1000000001"},
		{"[service_types.chat]\nsetup_target_s = 0\n", "2: service_types.chat.setup_target_s: must be between 0.001 and 600 s, got 0"},
		{"[service_types.chat]\nmessage_target_s = 61\n",
			"2: service_types.chat.message_target_s: must be between 0.0001 and 60 s, got 61"},
		{"[hosts.s-1]\ndisabled_until_s = 4102444801\n",
			"2: hosts.s-1.disabled_until_s: must be between 0 and 4102444800 Unix s, got 4102444801"},
		{"[hosts.s-1]\ndisabled_until_s = 2026-12-02T05:00:00Z\n", "2: hosts.s-1.disabled_until_s: must be a number"},
		{"[hosts.s-1]\nweight = 0\n", "2: hosts.s-1.weight: must be between 0.001 and 1000000 as listed, got 0"},
	})
}

// A name that no tenant, service type or host can have would never apply, and of a key that occurs twice one value would be
// lost.
func TestDocumentWithInvalidNameOrRepeatedKeyIsRejected(t *testing.T) {
	requireRejected(t, []rejectedDocument{
		{"[hosts.\"\"]\nweight = 1\n", "2: hosts..weight: unknown key"},
		{"[hosts." + strings.Repeat("h", MaxNameBytes+1) + "]\nweight = 1\n", "the name must be between 1 and 128 bytes, got 129"},
		{"[hosts.\"a\\nb\"]\nweight = 1\n", `2: "hosts.a\nb.weight": the name must be valid UTF-8 without control characters`},
		{"[hosts.a.b]\nweight = 1\n[hosts.\"a.b\"]\nweight = 2\n", "4: hosts.a.b.weight: is already set in line 2"},
		{"nodes = 1\nnodes = 2\n", "2:"},
		{"nodes =\n", "1:"},
		{"[[hosts]]\nweight = 1\n", "1: hosts: unknown key"},
	})
}

// An operator who puts a key of the startup configuration into the document would expect it to take effect without a restart.
func TestDocumentWithStartupKeyIsRejected(t *testing.T) {
	requireRejected(t, []rejectedDocument{
		{"name = \"n1\"\n", "1: name: needs a restart"},
		{"seed = \"9\"\n", "1: seed: needs a restart"},
		{"nodes = 3\n[limits]\ncores = 2\n", "3: limits.cores: needs a restart"},
		{"[limits]\nprobes = true\n", "2: limits.probes: needs a restart"},
		{"[limits]\nmax_retry_after_us = 5\n", "2: limits.max_retry_after_us: needs a restart; the live key is retry_advice_s"},
		{"[invariants]\ncold_from = 0.1\n", "2: invariants.cold_from: needs a restart; the live key is slow_start.from"},
		{"[settings.limits]\nmax_connects = 3\n", "2: settings.limits.max_connects: needs a restart"},
		{"[known]\nindex = 3\n", "2: known.index: needs a restart"},
		{"[service_types.chat]\neffect = \"once\"\n", "2: service_types.chat.effect: needs a restart"},
		{"[service_types.chat]\nmemory_span_us = 1\n", "2: service_types.chat.memory_span_us: needs a restart"},
		{"[[parties]]\nname = \"red\"\n", "1: parties: needs a restart"},
		{"zones = [\"a\"]\n", "1: zones: needs a restart"},
	})
}

// Entries can be proposed without a document, so Check has to reject those that Parse would never return, and name the key.
func TestInvalidEntriesAreRejected(t *testing.T) {
	entry := func(key, value string) configfeed.Entry { return configfeed.Entry{Key: key, Value: value} }
	for _, c := range []struct {
		name    string
		entries []configfeed.Entry
		key     string
	}{
		{"out of order", []configfeed.Entry{entry("nodes", "3"), entry("ask_within_s", "3")}, "ask_within_s"},
		{"key twice", []configfeed.Entry{entry("nodes", "3"), entry("nodes", "3")}, "nodes"},
		{"space before the value", []configfeed.Entry{entry("nodes", " 3")}, "nodes"},
		{"no value", []configfeed.Entry{entry("nodes", "")}, "nodes"},
		{"integer with an exponent", []configfeed.Entry{entry("nodes", "3e1")}, "nodes"},
		{"null for a number", []configfeed.Entry{entry("nodes", "null")}, "nodes"},
		{"null for an address", []configfeed.Entry{entry("discovery", "null")}, "discovery"},
		{"number beyond any float", []configfeed.Entry{entry("retry_advice_s", "1e999")}, "retry_advice_s"},
		{"no key", []configfeed.Entry{entry("", "3")}, ""},
		{"key of a table", []configfeed.Entry{entry("hosts.s-1", "3")}, "hosts.s-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var keyError *KeyError
			if err := Check(c.entries); !errors.As(err, &keyError) || keyError.Key != c.key {
				t.Errorf("%v: got error %v, want a KeyError for %q", c.entries, err, c.key)
			}
		})
	}
	long := entry("hosts.s-1.weight", strings.Repeat("1", configfeed.MaxStateBytes))
	if err := Check([]configfeed.Entry{long}); err == nil ||
		!strings.Contains(err.Error(), "keys and values must be at most 1048576 bytes, got ") {
		t.Errorf("entries that exceed the size limit: got error %v", err)
	}
}

// A document that is too large to be distributed has to be rejected when it is read, not by the control server later.
func TestTooLargeDocumentIsRejected(t *testing.T) {
	_, err := Parse("live.toml", []byte(strings.Repeat("# a comment\n", MaxDocumentBytes/12+1)))
	if err == nil || err.Error() != "live.toml:1: the document must be at most 4194304 bytes, got 4194312" {
		t.Error(err)
	}
	var text strings.Builder
	for i := range 6_800 {
		text.WriteString("[hosts." + strings.Repeat("h", 120) + strconv.Itoa(i) + "]\ndisabled_until_s = 1764650000\n")
	}
	_, err = Parse("live.toml", []byte(text.String()))
	if err == nil || !strings.Contains(err.Error(), "keys and values must be at most 1048576 bytes, got ") {
		t.Error(err)
	}
}

// The size limits must not reject the document of a large fleet: one with 2000 hosts is valid.
func TestDocumentWithManyHostsIsAccepted(t *testing.T) {
	var text strings.Builder
	for i := range 2_000 {
		text.WriteString("[hosts.s-" + strings.Repeat("0", 4) + string(rune('a'+i%26)) + strings.Repeat("b", i/26%30) + "-" +
			strings.Repeat("c", i/780) + "]\nweight = 2\n")
	}
	entries, err := Parse("live.toml", []byte(text.String()))
	if err != nil || len(entries) != 2_000 {
		t.Fatalf("%d entries, %v", len(entries), err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(completeDocument)
	f.Add("limits = { sockets = 3 }\n[hosts.\"a\\nb\"]\nweight = nan\n")
	f.Fuzz(func(t *testing.T, text string) {
		entries, err := Parse("live.toml", []byte(text))
		if err == nil {
			err = Check(entries)
			if err != nil {
				t.Fatalf("Check rejects the entries that Parse returned: %v", err)
			}
		}
	})
}
