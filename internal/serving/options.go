package serving

import (
	"errors"
	"fmt"
	"time"
)

const (
	minWindow    = 100 * time.Millisecond
	minLineBytes = 32  // has space for a delivery's prefix, its time and its end
	maxLineBytes = 512 // of any line that a client reads
)

// Options say what is measured. The zero value is not valid; Validate returns the reason.
type Options struct {
	Program     string        // path of the built node
	Dir         string        // directory for the node's files, which are removed again
	Cores       int           // processors that the node may use at once, from 1 on
	Repeats     int           // of all steps, from 1 on
	Window      time.Duration // length of a measure of idle connections and of a rate, from 100 ms on
	LineBytes   int           // length of a delivery with its line end, from 32 to 512
	Connections []int         // numbers of idle connections; those that do not fit are replaced by as many as fit
	Flows       []int         // numbers of flows that are opened and closed one after the other
	Rates       []int         // deliveries per second
	Carriers    int           // connections that carry the rates
	Listeners   []int         // numbers of clients that a burst goes to, each at most Carriers
	Bursts      int           // bursts for each number of listeners, from 1 on
	Load        int           // deliveries per second beside the loaded bursts
	Loaded      int           // listeners of the loaded bursts, fewer than Carriers
	Stall       time.Duration // a measure during which the machine stalled for longer is repeated; from 20 ms on

	// Progress takes a line of text after each measure. It may be nil.
	Progress func(line string)
}

// Validate returns an error that names the first option with which nothing can be measured, or nil.
func (o Options) Validate() error {
	switch {
	case o.Repeats < 1 || o.Bursts < 1 || o.Cores < 1:
		return errors.New("repeats, bursts and cores go from 1 on")
	case o.Stall < minStall:
		return fmt.Errorf("a stall of %v is shorter than %v", o.Stall, minStall)
	case o.Window < minWindow:
		return fmt.Errorf("a window of %v is shorter than %v", o.Window, minWindow)
	case o.LineBytes < minLineBytes || o.LineBytes > maxLineBytes:
		return fmt.Errorf("lines of %d bytes: they go from %d to %d", o.LineBytes, minLineBytes, maxLineBytes)
	case o.Loaded >= o.Carriers:
		return fmt.Errorf("bursts with load have %d listeners, and %d connections carry both", o.Loaded, o.Carriers)
	}
	return nil
}
