package sockets

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxBusyTime is how long the loop is busy without a pause until it takes a rest from the lines of established
	// connections. While goroutines are always ready to run, the Go runtime looks for ready sockets rarely and gives those that
	// it finds few turns, so that new clients and hosts' answers would wait.
	maxBusyTime = 8 * time.Millisecond

	// restTime is how long a rest lasts after the last line that was read in it, and maxRestTime how long in all.
	restTime    = time.Millisecond
	maxRestTime = 32 * time.Millisecond

	// minIdleTime is the shortest wait for an input that counts as a pause: in a shorter one other goroutines may have run.
	minIdleTime = 200 * time.Microsecond

	// saturatedShare is the share of its processors above which the process counts as busy: goroutines beside the loop may have
	// run in the loop's waits, or the machine may have been idle in them.
	saturatedShare = 0.8

	// restGap is the longest time from one rest to the next in which the loop counts as busy without a pause.
	restGap = 3 * maxBusyTime

	// maxUrgentInARow is how many urgent inputs the loop handles before it looks for others.
	maxUrgentInARow = 32
)

// turns shares the time of the loop among its inputs. Only the loop uses it. The zero value is ready to use; it takes a process
// whose loop has no pauses for busy.
type turns struct {
	processors    float64              // that the process may use
	processorTime func() time.Duration // used by the process so far; nil if that is not known
	usage         usageSample          // at the end of the last rest, or when one was last considered

	busySince      time.Time // when the loop was last idle or had a rest
	rest           rest
	lastRest       time.Time // when the last rest ended
	saturatedSince time.Time // since when the loop has been busy without a pause, apart from its rests
	urgentInARow   int       // urgent inputs handled since the loop last looked for others
}

// usageSample is the processor time that the process has used at a time.
type usageSample struct {
	at   time.Time
	used time.Duration
}

// rest is a time in which the loop takes no lines, so that the goroutines that read them come to an end and the runtime looks
// for ready sockets.
type rest struct {
	timer   *time.Timer // ends the rest; nil if there is none
	began   time.Time
	waiting int // lines that waited for the loop when the timer was set
}

// update begins a rest if the loop has been busy for too long. waiting is how many lines wait for the loop.
func (t *turns) update(now time.Time, waiting int) {
	switch {
	case t.busySince.IsZero():
		t.busySince = now
	case t.rest.timer == nil && now.Sub(t.busySince) >= maxBusyTime:
		if !t.processBusy(now) {
			t.busySince = now
			return
		}
		if now.Sub(t.lastRest) > restGap {
			t.saturatedSince = t.busySince
		}
		t.rest = rest{timer: time.NewTimer(restTime), began: now, waiting: waiting}
	}
}

// processBusy reports whether the process has used most of its processors since the last sample.
func (t *turns) processBusy(now time.Time) bool {
	if t.processorTime == nil {
		return true
	}
	last := t.usage
	t.sampleUsage(now)
	available := now.Sub(last.at).Seconds() * t.processors
	return (t.usage.used - last.used).Seconds() > saturatedShare*available
}

// sampleUsage samples the processor time that the process has used, if that is known.
func (t *turns) sampleUsage(now time.Time) {
	if t.processorTime != nil {
		t.usage = usageSample{at: now, used: t.processorTime()}
	}
}

// processorTime returns the processor time that this process has used so far.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// continueRest handles that a rest's timer has fired: the rest ends, unless lines were read since the timer was set.
func (t *turns) continueRest(now time.Time, waiting int) {
	if waiting > t.rest.waiting && now.Sub(t.rest.began) < maxRestTime {
		t.rest.waiting = waiting
		t.rest.timer.Reset(restTime)
		return
	}
	t.rest = rest{}
	t.sampleUsage(now)
	t.lastRest = now
	t.busySince = now
}

// waited records that the loop waited for an input.
func (t *turns) waited(from, until time.Time) {
	if t.rest.timer == nil && until.Sub(from) >= minIdleTime {
		t.busySince = until
	}
}

// saturatedFor returns for how many seconds the loop has been busy without a pause, apart from its rests, or 0 if it has
// pauses.
func (t *turns) saturatedFor(now time.Time) float64 {
	if t.rest.timer == nil && now.Sub(t.lastRest) > restGap {
		return 0
	}
	return now.Sub(t.saturatedSince).Seconds()
}

// admit returns the channel of lines, or nil during a rest.
func (t *turns) admit(lines <-chan event) <-chan event {
	if t.rest.timer != nil {
		return nil
	}
	return lines
}

// restTimer returns the channel of a rest's timer, or nil if there is no rest.
func (t *turns) restTimer() <-chan time.Time {
	if t.rest.timer == nil {
		return nil
	}
	return t.rest.timer.C
}

// lowPriorityDue reports whether the loop looks for inputs that are not urgent before it handles another urgent one.
func (t *turns) lowPriorityDue() bool { return t.urgentInARow >= maxUrgentInARow }
