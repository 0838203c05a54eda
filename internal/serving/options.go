package serving

import (
	"fmt"
	"time"
)

const (
	minWindow    = 100 * time.Millisecond
	minLineBytes = 32  // enough for a delivery's prefix, time and line end
	maxLineBytes = 512 // limit of any line that a client reads
)

// Options configure what is measured. The zero value is not valid.
type Options struct {
	Program     string        // path of the built node program
	Dir         string        // directory for the node's files, which are removed after each step
	Cores       int           // number of CPU cores that the node may use at once, at least 1
	Repeats     int           // number of runs of all steps, at least 1
	Window      time.Duration // duration of a measurement of idle connections or of a rate, at least 100 ms
	LineBytes   int           // length of a delivery including its line end, 32 to 512 bytes
	Connections []int         // numbers of idle connections; numbers above the capacity are lowered to it
	Flows       []int         // numbers of flows that are opened and closed one after the other
	Rates       []int         // deliveries per second
	Carriers    int           // number of connections that carry the rates
	Listeners   []int         // numbers of clients that receive a burst, each at most Carriers
	Bursts      int           // bursts for each number of listeners, at least 1
	Load        int           // deliveries per second during the loaded bursts
	Loaded      int           // number of clients that receive the loaded bursts, fewer than Carriers
	Stall       time.Duration // a measurement during which the machine stalls for longer is repeated; at least 20 ms

	// Progress is called with a line of text after each measurement. It may be nil.
	Progress func(line string)
}

// Validate returns an error for the first option that is out of its range, or nil.
func (o Options) Validate() error {
	switch {
	case o.Repeats < 1 || o.Bursts < 1 || o.Cores < 1:
		return fmt.Errorf("repeats, bursts and cores must each be at least 1, got %d, %d and %d", o.Repeats, o.Bursts, o.Cores)
	case o.Stall < minStall:
		return fmt.Errorf("stall must be at least %v, got %v", minStall, o.Stall)
	case o.Window < minWindow:
		return fmt.Errorf("window must be at least %v, got %v", minWindow, o.Window)
	case o.LineBytes < minLineBytes || o.LineBytes > maxLineBytes:
		return fmt.Errorf("line must be between %d and %d bytes, got %d", minLineBytes, maxLineBytes, o.LineBytes)
	case o.Loaded >= o.Carriers:
		return fmt.Errorf("loaded must be less than carriers (%d), got %d", o.Carriers, o.Loaded)
	}
	return nil
}
