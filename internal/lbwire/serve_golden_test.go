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

// testdata/input.hex is a stream of frames from the simulator, one per line, and testdata/output.hex holds the replies of
// revision 5fa7498, one per line. The files must never change, and no flag rewrites them: the simulator depends on these
// bytes, and the decisions in them must stay the same.

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

// codes returns the distinct codes of the fixed-size records after the frames' headers, sorted.
func codes(frames [][]byte, headerLength, recordLength int) []byte {
	var all []byte
	for _, frame := range frames {
		count := int(byteOrder.Uint32(frame[headerLength-4:]))
		for i := range count {
			all = append(all, frame[headerLength+i*recordLength])
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// endings returns the outcome codes with which attempts in the stream end.
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

// A kind of record that is missing from the golden stream would not be covered by the comparison of replies.
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
			t.Errorf("no attempt ends with outcome %d", code)
		}
	}
}

// action is one record of a reply, with the part of the reply's tail to which it refers.
type action struct {
	record [16]byte // record without its offset and length in the tail
	tail   string   // part of the tail; empty for a log line, whose words may change
}

// actions decodes a reply. It fails the test if the length of the reply does not match its contents.
func actions(t *testing.T, reply []byte) []action {
	t.Helper()
	if len(reply) < 8 || int(byteOrder.Uint32(reply)) != len(reply) {
		t.Fatalf("reply of %d bytes has the header %x", len(reply), reply[:min(len(reply), 8)])
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
				t.Fatalf("log line of %d bytes at offset %d in a tail of %d bytes", length, from, len(tail))
			}
			used += int(length)
			clear(a.record[3:11])
		}
		all = append(all, a)
	}
	if used != len(tail) {
		t.Fatalf("tail of %d bytes, but the records refer to %d", len(tail), used)
	}
	return all
}

// A changed decision or encoding would break the simulator and its recorded runs. The replies must be equal to the golden
// ones, except for the words of log lines, which are not part of the protocol.
func TestServeAnswersGoldenStream(t *testing.T) {
	input, want := goldenFrames(t, "input.hex"), goldenFrames(t, "output.hex")
	var output bytes.Buffer
	if err := Serve(bytes.NewReader(bytes.Join(input, nil)), &output); err != nil {
		t.Fatal(err)
	}
	for i, reply := range want {
		if output.Len() < 8 {
			t.Fatalf("reply %d is missing", i)
		}
		got := output.Next(int(byteOrder.Uint32(output.Bytes())))
		if !slices.Equal(actions(t, got), actions(t, reply)) {
			t.Fatalf("reply %d to %x:\n%x\nwant:\n%x", i, input[i], got, reply)
		}
	}
	if output.Len() > 0 {
		t.Errorf("%d bytes after the last golden reply", output.Len())
	}
}

// A setting that the simulator sends and that is not decoded would change decisions silently. The settings in the first frame
// of the golden stream have every key, and the values of all of them are decoded.
func TestGoldenSettingsAreRead(t *testing.T) {
	first := goldenFrames(t, "input.hex")[0]
	from, length := byteOrder.Uint32(first[16+11:]), byteOrder.Uint32(first[16+15:])
	tail := first[16+48*byteOrder.Uint32(first[12:]):]
	settings, listener, err := settings.Parse(tail[from:from+length], byteOrder.Uint64(first[16+3:]))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Seed != 18446744073709551615 || settings.Nodes != 2 || settings.NodeNumber != 1 || settings.MaxAttempts != 3 ||
		settings.MaxRetryAfter != 2 || !settings.LoadGossip || !settings.HealthChecks || !settings.LoadReports || !settings.WatchEndpoints ||
		len(settings.ServiceTypes) != 3 || !slices.Equal(settings.Quotas, []float64{6, 4}) {
		t.Errorf("read %+v", settings)
	}
	if !slices.Equal(listener.ReportFields, []string{"x1", "x0"}) || !slices.Equal(listener.Zones, []string{"a", "b"}) ||
		!slices.Equal(listener.Tenants, []string{"acme", "beta"}) || !listener.PassThrough || !listener.ReportsDelay ||
		!listener.ReportsLoad {
		t.Errorf("read %+v", listener)
	}
}
