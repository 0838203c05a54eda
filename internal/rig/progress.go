package rig

import (
	"context"
	"fmt"
	"time"
)

// progressf formats a progress line and passes it on.
func (r *Rig) progressf(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// progressInterval is the time between two progress lines about the state of a run.
const progressInterval = 2 * time.Second

// reportProgress reports the state of the run at intervals until the context ends or the returned function is called,
// which waits for the last report.
func (r *Rig) reportProgress(ctx context.Context) func() {
	if r.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-time.After(progressInterval):
			case <-ctx.Done():
				return
			}
			r.reportState(ctx)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// reportState reports how many nodes run, how many members they hold for alive and how many flows have ended.
func (r *Rig) reportState(ctx context.Context) {
	least, most := len(r.nodes)+1, 0
	answers := r.views(ctx)
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		alive := 0
		for _, m := range a.view.Members {
			if m.State == memberAlive {
				alive++
			}
		}
		least, most = min(least, alive), max(most, alive)
	}
	if ctx.Err() == nil && most > 0 {
		r.progressf("%5.1f s  %d of %d run, each sees %d to %d alive, %d flows", r.history.now(), len(answers),
			len(r.nodes), least, most, r.history.flows())
	}
}
