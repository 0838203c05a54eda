package main

import (
	"syscall"
	"testing"
	"time"
)

// maxExitTime is how long a node may take to exit once its last flow has ended.
const maxExitTime = 4 * time.Second

// On SIGTERM a node migrates its clients, or holds them where packets pass through, and exits without an error.
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
			late.send("UP 3\r\n") // what was taken is still answered
			waiting.expect("UP 3")
			host.Close() // what is held until then
			late.Close()
			start := time.Now()
			err := n.process.Wait()
			if took := time.Since(start); err != nil || took > maxExitTime {
				t.Fatalf("exited with %v after %v", err, took)
			}
		})
	}
}
