package view

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// The files under testdata were written by version 5fa7498 and must never be regenerated: operators' tools read these
// pages. A failing test in this file means that the JSON form of a page has changed.

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := readGolden(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// checkNoZero checks that no exported field of a value is zero, at any depth, so that a field that is no longer read from
// a golden file is noticed.
func checkNoZero(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	if value.IsZero() || value.Kind() == reflect.Slice && value.Len() == 0 || value.Kind() == reflect.Map && value.Len() == 0 {
		t.Errorf("%s is zero", path)
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		checkNoZero(t, path, value.Elem())
	case reflect.Slice:
		for i := range value.Len() {
			checkNoZero(t, fmt.Sprintf("%s[%d]", path, i), value.Index(i))
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			checkNoZero(t, fmt.Sprintf("%s[%v]", path, key), value.MapIndex(key))
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() && field.Tag.Get("json") != "-" {
				checkNoZero(t, path+"."+field.Name, value.Field(i))
			}
		}
	}
}

// encode returns a value in the JSON form in which the admin address shows it.
func encode(t *testing.T, value any) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := json.NewEncoder(&out).Encode(value); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// checkPage checks that a value encodes to a file, and that the file decodes to the value and encodes to itself.
func checkPage[T any](t *testing.T, name string, value T) {
	t.Helper()
	checkGolden(t, name, encode(t, value))
	var decoded T
	decoder := json.NewDecoder(bytes.NewReader(readGolden(t, name)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	checkNoZero(t, name, reflect.ValueOf(decoded))
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("decoded %+v, want %+v", decoded, value)
	}
	checkGolden(t, name, encode(t, decoded))
}

// Guards against renamed, removed or added fields of the members page.
func TestGoldenMembersPage(t *testing.T) {
	checkPage(t, "members.json", View{Fleet: "lima", Self: "node-a", LiveCount: 2, HealthScore: 3, Nodes: 4,
		Members: []Member{
			{Name: "node-a", State: "alive", Since: 1700000000.5, Start: 1700000000000001, Incarnation: 5, Address: "127.0.0.1:7000",
				Zone: "zone-a", Build: "5fa7498", Ready: true, BadLinks: []string{"node-b", "node-c"}},
			{Name: "node-b", State: "suspect", Since: 1700000001.25, Start: 1700000000000002, Incarnation: 6, Address: "127.0.0.2:7000",
				Zone: "zone-b", Build: "5fa7499", Ready: true, BadLinks: []string{"node-a"}}},
		Traffic:  []Traffic{{Kind: "ping", SentMessages: 7, SentBytes: 630, ReceivedMessages: 8, ReceivedBytes: 720}},
		Rejected: map[string]int{"another fleet": 9, "no right MAC": 10}})
}

// Guards against renamed, removed or added fields of the configuration page.
func TestGoldenConfigPage(t *testing.T) {
	checkPage(t, "config.json", Config{Epoch: 2, Revision: 41, Since: 1700000000.5, Digest: "00000000000000ff", Region: "west",
		Server: "c1", Servers: []string{"c1", "c2"}, Heard: 1700000001.25, Age: 0.75, Follows: true,
		Newest:  Version{Epoch: 3, Revision: 42},
		Refused: &Refused{Version: Version{Epoch: 4, Revision: 43}, Reason: "limits.sockets: 9 is over the start's 8"},
		Ignored: []string{"limits.sockets"}, Requests: 11, BytesSent: 1200, BytesReceived: 13000})
}

// Guards against changes to which empty fields are omitted from a page and which are shown as empty.
func TestGoldenEmptyPages(t *testing.T) {
	checkGolden(t, "members-empty.json", encode(t, View{Members: []Member{{}}, Traffic: []Traffic{{}}}))
	checkGolden(t, "config-empty.json", encode(t, &Config{}))
}
