// Command benchlink connects the balancer to the simulator: it reads batches of events on standard input and writes the
// decisions as replies on standard output, until the input ends. It exits with 1 after a batch that it cannot decode.
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
