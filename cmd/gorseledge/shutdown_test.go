package main

import (
	"syscall"
	"testing"
	"time"
)

// maxExitTime is how long a node may take to exit once its last flow has ended.
const maxExitTime = 4 * time.Second

// A shutdown could drop established clients or flows that still wait for a host. On SIGTERM the node tells its clients to
// connect elsewhere, or, in mode pass, serves them to their end. It then exits without an error.
func TestGracefulShutdown(t *testing.T) {
	for mode, answers := range map[string][]string{"proxy": {"MOVE", "<end>"}, "pass": {"M 1"}} {
		t.Run(mode, func(t *testing.T) {
			n := startNode(t, mode, 1, 200)
			client, host := n.establish()
			waiting := n.connect()
			waiting.send(openingLine(900))
			late, _ := n.acceptAtHost(0)
			n.signal(syscall.SIGTERM)
			n.waitForLog("graceful shutdown begins")
			if mode == "pass" {
				host.send("M 1\r\n")
			}
			client.expect(answers...)
			late.send("UP 3\r\n") // a flow that was accepted before the shutdown still gets its answer
			waiting.expect("UP 3")
			host.Close() // the end of the last flows, for which the node has waited
			late.Close()
			start := time.Now()
			err := n.process.Wait()
			if took := time.Since(start); err != nil || took > maxExitTime {
				t.Fatalf("exited with error %v after %v, want none within %v", err, took, maxExitTime)
			}
		})
	}
}
