package fleet

import (
	"context"
	"time"

	"gorseledge/internal/configfeed/feedhttp"
)

const (
	serversSilentSeconds = 10.0        // time without an answer of any control server after which a warning is logged
	serverWatchInterval  = time.Second // time between two checks of the last answer
)

// watchServers logs when no control server has answered for serversSilentSeconds and when one answers again. It returns
// when this process must no longer follow the control servers or the context ends.
func (f *configFollower) watchServers(ctx context.Context, follower *feedhttp.Follower) {
	ticker := time.NewTicker(serverWatchInterval)
	defer ticker.Stop()
	silent := false
	for f.shouldFollow() {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			continue
		case <-ticker.C:
		}
		age := f.answerAge(follower.View().LastHeard)
		if silent == (age > serversSilentSeconds) {
			continue
		}
		silent = !silent
		f.logServers(silent, age)
	}
}

// logServers logs that no control server answers, or that one answers again. The parameter age is the time in seconds since
// the last answer.
func (f *configFollower) logServers(silent bool, age float64) {
	f.mu.Lock()
	version := f.state.Version
	f.mu.Unlock()
	event := f.options.Log.Info()
	message := "control servers answer again"
	if silent {
		event = f.options.Log.Warn()
		message = "no control server answers; keeping the current configuration"
	}
	event.Float64("age_s", float64(int(age))).Uint64("epoch", version.Epoch).Uint64("revision", version.Revision).Msg(message)
}

// answerAge returns the seconds since the last answer of a control server, or since the start of this process if none has
// answered, for which lastAnswer is 0.
func (f *configFollower) answerAge(lastAnswer float64) float64 {
	if lastAnswer == 0 {
		lastAnswer = f.startedAt
	}
	return max(f.now()-lastAnswer, 0)
}
