package lbwire

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gorseledge/internal/settings"
)

// testdata/input.hex is a stream of the simulator's frames, one a line, and testdata/output.hex holds what revision
// 5fa7498 answered, one reply a line. They are fixed for good: there is no flag that rewrites them. The simulator goes by
// these bytes, and the decisions in them have to stay as they are.

// goldenFrames returns the frames of a file under testdata.
func goldenFrames(t *testing.T, name string) [][]byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	var frames [][]byte
	for line := range strings.Lines(string(text)) {
		frame, err := hex.DecodeString(strings.TrimSuffix(line, "\n"))
		if err != nil {
			t.Fatalf("%s, line %d: %v", name, len(frames)+1, err)
		}
		frames = append(frames, frame)
	}
	return frames
}

// codes returns the codes of the fixed-size records that follow a frame's head, sorted, each once.
func codes(frames [][]byte, headLength, recordLength int) []byte {
	var all []byte
	for _, frame := range frames {
		count := int(byteOrder.Uint32(frame[headLength-4:]))
		for i := range count {
			all = append(all, frame[headLength+i*recordLength])
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// endings returns the outcomes with which the stream's connects end.
func endings(frames [][]byte) map[uint16]bool {
	found := map[uint16]bool{}
	for _, frame := range frames {
		for i := range int(byteOrder.Uint32(frame[12:])) {
			if record := frame[16+i*48:]; record[0] == 7 {
				found[byteOrder.Uint16(record[13:])] = true
			}
		}
	}
	return found
}

func TestGoldenStreamHasEveryKindOfRecord(t *testing.T) {
	input, output := goldenFrames(t, "input.hex"), goldenFrames(t, "output.hex")
	if got, want := codes(input, 16, 48), []byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}; !bytes.Equal(got, want) {
		t.Errorf("events %v, want %v", got, want)
	}
	if got, want := codes(output, 8, 16), []byte{1, 2, 3, 5, 6, 8, 9, 11, 13}; !bytes.Equal(got, want) {
		t.Errorf("actions %v, want %v", got, want)
	}
	found := endings(input)
	for _, code := range []uint16{0, 5, 11, 104, 110, 111, 114, 125, 999} {
		if !found[code] {
			t.Errorf("no connect ends with outcome %d", code)
		}
	}
}

// action is one record of a reply with the part of the reply's tail that it refers to.
type action struct {
	record [16]byte // without references into the tail
	tail   string   // empty for a log line, whose words may change
}

// actions takes a reply apart. It fails the test where the reply's length does not agree with what is in it.
func actions(t *testing.T, reply []byte) []action {
	t.Helper()
	if len(reply) < 8 || int(byteOrder.Uint32(reply)) != len(reply) {
		t.Fatalf("a reply of %d bytes has the head %x", len(reply), reply[:min(len(reply), 8)])
	}
	count := int(byteOrder.Uint32(reply[4:]))
	tail := reply[8+count*16:]
	var all []action
	used := 0
	for i := range count {
		var a action
		copy(a.record[:], reply[8+i*16:])
		switch a.record[0] {
		case 8: // a message to other instances
			from, length := byteOrder.Uint32(a.record[5:]), byteOrder.Uint32(a.record[9:])
			a.tail = string(tail[from : from+length])
			used += int(length)
			clear(a.record[5:13])
		case 9: // a log line
			from, length := byteOrder.Uint32(a.record[3:]), byteOrder.Uint32(a.record[7:])
			if length == 0 || int(from+length) > len(tail) {
				t.Fatalf("a log line of %d bytes at %d in a tail of %d", length, from, len(tail))
			}
			used += int(length)
			clear(a.record[3:11])
		}
		all = append(all, a)
	}
	if used != len(tail) {
		t.Fatalf("a tail of %d bytes, of which %d are referred to", len(tail), used)
	}
	return all
}

// The replies are compared action by action: all bytes but the words of log lines, which are no part of the protocol.
func TestServeAnswersGoldenStream(t *testing.T) {
	input, want := goldenFrames(t, "input.hex"), goldenFrames(t, "output.hex")
	var output bytes.Buffer
	if err := Serve(bytes.NewReader(bytes.Join(input, nil)), &output); err != nil {
		t.Fatal(err)
	}
	for i, reply := range want {
		if output.Len() < 8 {
			t.Fatalf("no reply %d", i)
		}
		got := output.Next(int(byteOrder.Uint32(output.Bytes())))
		if !slices.Equal(actions(t, got), actions(t, reply)) {
			t.Fatalf("reply %d to %x:\n%x\nwant:\n%x", i, input[i], got, reply)
		}
	}
	if output.Len() > 0 {
		t.Errorf("%d bytes more than the golden replies", output.Len())
	}
}

// The settings in the stream's first frame have every key, and all of them are read.
func TestGoldenSettingsAreRead(t *testing.T) {
	first := goldenFrames(t, "input.hex")[0]
	from, length := byteOrder.Uint32(first[16+11:]), byteOrder.Uint32(first[16+15:])
	tail := first[16+48*byteOrder.Uint32(first[12:]):]
	settings, rest, err := settings.Parse(tail[from:from+length], byteOrder.Uint64(first[16+3:]))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Seed != 18446744073709551615 || settings.Nodes != 2 || settings.NodeNumber != 1 || settings.MaxAttempts != 3 ||
		settings.MaxRetryAfter != 2 || !settings.LoadGossip || !settings.HealthChecks || !settings.LoadReports || !settings.WatchEndpoints ||
		len(settings.ServiceTypes) != 3 || !slices.Equal(settings.Quotas, []float64{6, 4}) {
		t.Errorf("read %+v", settings)
	}
	if !slices.Equal(rest.ReportFields, []string{"x1", "x0"}) || !slices.Equal(rest.Zones, []string{"a", "b"}) ||
		!slices.Equal(rest.Tenants, []string{"acme", "beta"}) || !rest.PassThrough || !rest.ReportsDelay || !rest.ReportsLoad {
		t.Errorf("read %+v", rest)
	}
}
