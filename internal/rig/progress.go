package rig

import (
	"context"
	"fmt"
	"time"
)

func (r *Rig) say(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// tell says every other second how it goes, until the function that it gives is called.
func (r *Rig) tell(ctx context.Context) func() {
	if r.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-time.After(2 * time.Second):
			case <-ctx.Done():
				return
			}
			least, most := len(r.nodes)+1, 0
			answers := r.views(ctx)
			for _, a := range answers {
				if a.err != nil {
					continue
				}
				alive := 0
				for _, m := range a.view.Members {
					if m.State == "alive" {
						alive++
					}
				}
				least, most = min(least, alive), max(most, alive)
			}
			if ctx.Err() == nil && most > 0 {
				r.say("%5.1f s  %d of %d run, each sees %d to %d alive, %d flows", r.history.now(), len(answers), len(r.nodes),
					least, most, r.history.flows())
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
