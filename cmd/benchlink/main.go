// Command benchlink connects the load balancer to the simulator. It reads batches of events from standard input and
// writes the balancer's decisions as replies to standard output, until the input ends. If it cannot decode a batch, it
// exits with code 1.
package main

import (
	"fmt"
	"os"

	"gorseledge/internal/lbwire"
)

func main() {
	if err := lbwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
