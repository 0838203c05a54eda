// Command review-2 runs the cases of the second review: each starts the program's own processes beside stand-ins for
// clients, servers and discovery, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// testCase is one case: trouble says whether the disruption happens. It returns the breaks of the rule.
type testCase func(r *record, root string, trouble bool) (broken []string)

var cases = map[string]testCase{}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: review-2 CASE ROOT RECORD")
		os.Exit(exitCannotRun)
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Println("no such case")
		os.Exit(exitCannotRun)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		cannotRun("%v", err)
	}
	if folder, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("%v", err)
	}
	if _, err := os.Stat(filepath.Join(root, "bin", "gorseledge")); err != nil {
		cannotRun("the program is not built: %v", err)
	}
	time.AfterFunc(115*time.Second, func() { cannotRun("over 115 s") })
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		cannotRun("stopped")
	}()
	r := newRecord(os.Args[3])
	broken := run(r, root, os.Getenv("TROUBLE") != "0")
	for _, line := range broken {
		r.add("BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		finish(1)
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	finish(0)
}
