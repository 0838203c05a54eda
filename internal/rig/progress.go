package rig

import (
	"context"
	"fmt"
	"time"
)

// progressf formats a progress line and passes it to the Progress option.
func (r *Rig) progressf(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// progressInterval is the interval between progress lines about the state of a run.
const progressInterval = 2 * time.Second

// reportProgress reports the state of the run at intervals until the context ends or the caller calls the returned function,
// which waits until the last report is done.
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

// reportState reports how many nodes are running, how many members they list as alive, and how many flows have ended.
func (r *Rig) reportState(ctx context.Context) {
	minAlive, maxAlive := len(r.nodes)+1, 0
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
		minAlive, maxAlive = min(minAlive, alive), max(maxAlive, alive)
	}
	if ctx.Err() == nil && maxAlive > 0 {
		r.progressf("%5.1f s  %d of %d nodes running, each lists %d to %d members as alive, %d flows ended",
			r.history.now(), len(answers), len(r.nodes), minAlive, maxAlive, r.history.flows())
	}
}
