package scale

import (
	"os"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against CPU time that a sum over living threads leaves out: a process whose threads end would seem to use less than it
// does, and pass the rule on a node's CPU.
func TestUsageCountsEndedThreads(t *testing.T) {
	const work = 0.2 // seconds of CPU time
	before, err := usageOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runtime.LockOSThread() // not unlocked, so that the thread ends with its goroutine
		workFor(work)
	}()
	<-ended
	time.Sleep(10 * time.Millisecond) // for the thread's end, after which a sum over living threads would lack its time
	after, err := usageOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if used := after.cpu - before.cpu; used < work {
		t.Errorf("%.3f s of CPU time counted, of which one thread alone used %.3f", used, work)
	}
	if after.memory <= 0 {
		t.Errorf("%g bytes of memory", after.memory)
	}
}

// workFor uses the given number of seconds of the calling thread's CPU time.
func workFor(seconds float64) {
	var began, now unix.Timespec
	unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &began)
	for now = began; float64(now.Nano()-began.Nano())/1e9 < seconds; {
		unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now)
	}
}

// Guards against a run that goes on without the usage of a process that has ended.
func TestUsageOfNoProcessIsAnError(t *testing.T) {
	if _, err := usageOf(1 << 30); err == nil {
		t.Error("no error for a process that does not exist")
	}
}
