package lbwire

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"
)

// Frames in hexadecimal: an empty batch, and the header of a batch with one record.
const (
	emptyBatch      = "0000000000000001" + "00000010" + "00000000"
	oneRecordHeader = "0000000000000001" + "00000040" + "00000001" // 16 + 48 bytes, one record
)

// A malformed frame that was accepted, or a valid one that was refused, would make the simulator's results meaningless. Valid
// frames get the exact reply, and malformed ones an error that names what is wrong.
func TestServeRepliesToValidFramesAndRejectsOthers(t *testing.T) {
	pad := func(s string) string { return s + strings.Repeat("0", 96-len(s)) }
	cases := []struct{ name, in, out, wantError string }{
		{"no batch", "", "", ""},
		{"empty batch", emptyBatch, "0000000800000000", ""},
		{"two empty batches", emptyBatch + emptyBatch, "00000008000000000000000800000000", ""},
		{"stream ends in the header", emptyBatch[:10], "", "batch 0: stream ended within the header"},
		{"stream ends in the body", oneRecordHeader + "0a", "",
			"batch 0: stream ended before the end of the frame of 64 bytes"},
		{"length below the header", "0000000000000001" + "0000000f" + "00000000", "",
			"batch 0: frame size must be between 16 and 268435456 bytes and fit 0 records of 48 bytes, got 15 bytes"},
		{"more records than bytes", "0000000000000001" + "00000040" + "00000002", "", "fit 2 records of 48 bytes, got 64 bytes"},
		{"oversized", "0000000000000001" + "ffffffff" + "00000000", "", "got 4294967295 bytes"},
		{"unknown event", oneRecordHeader + pad("63"), "", "record 0: unknown event code 99"},
		{"settings past the tail", oneRecordHeader + pad("0b0001"+"0000000000000005"+"00000000"+"00000009"), "",
			"past the tail of 0 bytes"},
		{"wake of an unknown instance", oneRecordHeader + pad("0a0007"), "0000000800000000", ""},
		{"end of an unknown instance", oneRecordHeader + pad("0c0007"), "0000000800000000", ""},
		{"flow for an unknown instance", oneRecordHeader + pad("030007"), "0000000800000000", ""},
		{"settings that do not parse", "0000000000000001" + "00000042" + "00000001" +
			pad("0b0001"+"0000000000000005"+"00000000"+"00000002") + "7b7b", "", "record 0: settings"},
		{"unknown keys, no service types: one wake", "0000000000000001" + "0000004a" + "00000001" +
			pad("0b0001"+"0000000000000005"+"00000000"+"0000000a") + hex.EncodeToString([]byte(`{"odd":[]}`)),
			"0000001800000001" + "050001" + "0003d090" + "000000000000000000", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in, err := hex.DecodeString(c.in)
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			err = Serve(bytes.NewReader(in), &out)
			if c.wantError != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantError) {
					t.Fatalf("error %v, want %q", err, c.wantError)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := hex.EncodeToString(out.Bytes()); got != c.out {
				t.Fatalf("got %s, want %s", got, c.out)
			}
		})
	}
}
