// Command benchlink puts the decisions on the bench's wire, on standard input and output.
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
