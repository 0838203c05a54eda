package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pelletier/go-toml/v2"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet"
	"gorseledge/internal/fleet/view"
)

// The files under testdata were written by the version in service (5fa7498) and are never rewritten, because committed
// figures and scripts use their names. A failure here means that an external name or format has changed.

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

// goldenRows have each kind, and each cost that a column of the printed table shows.
func goldenRows() []Row {
	rows := []Row{{100, Real, 16, "rest", "cpu", "cores", 0.0025}, {100, Virtual, 100, "rest", "sent_messages.all", "1/s", 1.5},
		{100, Server, 5, "rest", "memory", "B", 2.5e7}, {100, Hollow, 84, "rest", "suspicions", "1/s", 0.125}}
	for i, c := range nodeColumns {
		rows = append(rows, Row{200, Hollow, 184, "rest", c.cost, "1", 1 + 0.5*float64(i)})
	}
	for i, c := range fleetColumns {
		rows = append(rows, Row{200, Fleet, 200, "kill", c.cost, "s", 2 + 0.25*float64(i)})
	}
	return rows
}

// Guards against a change of the CSV or the printed format of a table, and against a field of a row that is no longer read.
func TestGoldenTables(t *testing.T) {
	provenance := []string{"command: gorselab scale test, seed 1", "beside it: nothing"}
	rows := goldenRows()
	checkGolden(t, "scale.csv", CSV(provenance, rows))
	gotProvenance, got, err := ReadCSV(bytes.NewReader(readGolden(t, "scale.csv")))
	if err != nil || !slices.Equal(gotProvenance, provenance) || !slices.Equal(got, rows) {
		t.Errorf("read %v, %v, %v", gotProvenance, got, err)
	}
	checkNoZero(t, "rows", reflect.ValueOf(got))
	checkGolden(t, "scale.csv", CSV(gotProvenance, got))
	var printed bytes.Buffer
	if err := WriteTable(&printed, got); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "printed.txt", printed.Bytes())
}

// Guards against a change of the CSV format: the committed tables of scale runs are read and written without a difference.
func TestGoldenCommittedTables(t *testing.T) {
	paths, err := filepath.Glob("../../docs/capacity/scale-*.csv")
	if err != nil || len(paths) != 4 {
		t.Fatalf("%v, %v", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			provenance, rows, err := ReadCSV(bytes.NewReader(text))
			if err != nil || len(rows) == 0 {
				t.Fatalf("%d rows, %v", len(rows), err)
			}
			if !bytes.Equal(CSV(provenance, rows), text) {
				t.Error("the written table differs from the one read")
			}
		})
	}
}

// Guards against a change of the names of kinds, events, disturbances and requests in tables, scripts and the protocol.
func TestGoldenNames(t *testing.T) {
	for _, c := range []struct{ got, want any }{
		{[]Kind{Real, Hollow, Virtual, Server, Fleet}, []Kind{"real", "hollow", "virtual", "server", "fleet"}},
		{[]ActionKind{KillOne, RestartSome, KillRack, KillZone, Change, CutRegion},
			[]ActionKind{"kill", "restart", "rack", "zone", "change", "region"}},
		{[]Disturbance{DisturbanceNone, DisturbanceRestart, DisturbanceServerFault, DisturbanceServerStart, DisturbanceRegionCut},
			[]Disturbance{"", "restart", "server-fault", "server-start", "region-cut"}},
		{[]requestKind{requestSetRegions, requestStart, requestKill, requestLeave, requestCut, requestWatchDepartures, requestMembers,
			requestWatchReturns, requestWatchInForce, requestReport, requestCheck},
			[]requestKind{"plan", "start", "kill", "leave", "cut", "watch", "members", "return", "change", "report", "check"}},
	} {
		if !reflect.DeepEqual(c.got, c.want) {
			t.Errorf("%v, want %v", c.got, c.want)
		}
	}
}

// goldenScript has every key, and values other than the defaults.
func goldenScript() *Script {
	return &Script{Name: "golden", Sizes: []int{50, 100}, Real: 8, PerProcess: 50, ZonesPerRegion: []int{2, 2}, Rack: 10, Period: 0.5,
		SendMembers: true, StartTimeout: 60, AwaitQuiescence: true, QuiescenceTimeout: 30, RestDuration: 10, EventDelay: 5,
		ReconvergenceTimeout: 40, ControlServers: []int{2, 1}, InForceBound: 4, MinChangeDuration: 3,
		Hosts: 2, FlowRate: 20, Tolerance: 0.25, CPU: 0.5, Memory: 32, Bandwidth: 7.5, TotalMemory: 4000, TotalMinutes: 5, Virtual: true,
		Events: []Action{{Kind: KillOne, FailureDuration: 10, Window: 20}, {Kind: RestartSome, Fraction: 0.125, Window: 21},
			{Kind: KillRack, FailureDuration: 11, Window: 22}, {Kind: KillZone, FailureDuration: 12, Window: 23},
			{Kind: CutRegion, FailureDuration: 13, Window: 24},
			{Kind: Change, Window: 25}, {Kind: Change, Disturbance: DisturbanceRestart, Fraction: 0.25, Window: 26},
			{Kind: Change, Disturbance: DisturbanceServerFault, Window: 27},
			{Kind: Change, Disturbance: DisturbanceServerStart, Window: 28},
			{Kind: Change, Disturbance: DisturbanceRegionCut, FailureDuration: 14, Window: 29}}}
}

// Guards against a change of the keys of a script, and against a key that is no longer read.
func TestGoldenScript(t *testing.T) {
	want := goldenScript()
	written, err := toml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "script.toml", written)
	got, err := ReadFile(filepath.Join("testdata", "script.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwant\n%+v", got, want)
	}
	events := got.Events
	got.Events = []Action{{Kind: events[0].Kind, Disturbance: events[6].Disturbance, Fraction: events[6].Fraction,
		FailureDuration: events[0].FailureDuration, Window: events[0].Window}}
	checkNoZero(t, "Script", reflect.ValueOf(got)) // no single event has all keys
}

// Guards against a change of the default values of a script.
func TestGoldenScriptDefaults(t *testing.T) {
	s, err := Read("script.toml", []byte("sizes = [50]\n"))
	if err != nil {
		t.Fatal(err)
	}
	written, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "script-defaults.toml", written)
}

// goldenRequest has every field set, which no request of a run has.
func goldenRequest() request {
	return request{Kind: requestStart, Names: []string{"n1"}, Regions: map[string]int{"127.0.0.1:7000": 1}, Digests: true,
		Nodes: []hollowNode{{Name: "n1", Region: 1, Seed: 2, Build: "5fa7498", ConfiguredNodes: 3, Fleet: fleet.Config{Fleet: "lima",
			Address: "127.0.0.1:7000", Join: []string{"127.0.0.2:7000"}, Key: "00112233445566778899aabbccddeeff", OldKey: "ffeeddccbbaa99887766554433221100",
			Zone: "a", Period: 0.5, Via: map[string]string{"127.0.0.2:7000": "127.0.0.9:1234"}, Region: "west",
			Control: []fleet.ControlServer{{Name: "c1", Address: "127.0.1.1:7100", Region: "west"}}}}},
		Members: []memberRecord{goldenRecord()}, Version: configfeed.Version{Epoch: 2, Revision: 41}, CutRegions: []int{1, 2},
		Expected: []expectation{{Region: 1, Names: []string{"n1", "n2"}}}}
}

func goldenRecord() memberRecord {
	return memberRecord{Name: "n1", Start: 1700000000000001, Incarnation: 7, Address: "127.0.0.1:7000", Zone: "a", Build: "5fa7498", Ready: true}
}

// goldenReply has every field set, which no reply of a process has.
func goldenReply() reply {
	times := hdrhistogram.New(1, 1000, 1)
	times.RecordValue(5)
	return reply{Error: "n1 runs already", Members: []memberRecord{goldenRecord()}, Disagreements: 4, FirstDisagreement: "n1 of n2",
		Report: &report{Nodes: 3,
			Traffic:    []view.Traffic{{Kind: "ping", SentMessages: 7, SentBytes: 630, ReceivedMessages: 8, ReceivedBytes: 720}},
			LiveCounts: map[int]countRange{1: {Min: 2, Max: 3}}, PendingUpdates: 6, Digests: map[uint64]int{0x0123456789abcdef: 9},
			Detections: watchReport{Departed: times.Export(), Returned: times.Export(), Suspicions: 11}, InForceDelays: times.Export()}}
}

// checkLine checks that a value encodes to a file, and that the file decodes to the value and encodes to itself.
func checkLine[T any](t *testing.T, name string, value T) T {
	t.Helper()
	written, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, name, written)
	var got T
	decoder := json.NewDecoder(bytes.NewReader(readGolden(t, name)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, value) {
		t.Errorf("decoded\n%+v\nwant\n%+v", got, value)
	}
	if written, err = json.Marshal(got); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, name, written)
	return got
}

// Guards against a change of the JSON that a run and its hollow processes exchange.
func TestGoldenProtocol(t *testing.T) {
	checkNoZero(t, "request", reflect.ValueOf(checkLine(t, "request.json", goldenRequest())))
	got := checkLine(t, "reply.json", goldenReply())
	// The histograms are removed, because a histogram has many zero counts.
	got.Report.InForceDelays, got.Report.Detections.Departed, got.Report.Detections.Returned = nil, nil, nil
	report, seen := got.Report, got.Report.Detections
	if report.Nodes == 0 || report.PendingUpdates == 0 || seen.Suspicions == 0 {
		t.Errorf("a zero field in %+v", report)
	}
	checkNoZero(t, "traffic", reflect.ValueOf(report.Traffic))
	checkNoZero(t, "living", reflect.ValueOf(report.LiveCounts))
	checkNoZero(t, "digests", reflect.ValueOf(report.Digests))
	checkNoZero(t, "members", reflect.ValueOf(got.Members))
}
