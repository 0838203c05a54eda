package serving

import (
	"testing"
	"time"

	"gorseledge/internal/figures"
)

// Options that cannot be measured must be rejected before a node is started.
func TestInvalidOptionsAreRejected(t *testing.T) {
	if err := smallOptions(t).Validate(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		change func(*Options)
	}{
		{"no repeat", func(o *Options) { o.Repeats = 0 }},
		{"no burst", func(o *Options) { o.Bursts = 0 }},
		{"short window", func(o *Options) { o.Window = time.Millisecond }},
		{"short line", func(o *Options) { o.LineBytes = 8 }},
		{"long line", func(o *Options) { o.LineBytes = maxLineBytes + 1 }},
		{"no stall", func(o *Options) { o.Stall = 0 }},
		{"no carriers left for the load", func(o *Options) { o.Loaded = o.Carriers }},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := smallOptions(t)
			c.change(&o)
			if err := Measure(t.Context(), o, &figures.Table{}); err == nil {
				t.Error("Measure accepted invalid options, want an error")
			}
		})
	}
}
