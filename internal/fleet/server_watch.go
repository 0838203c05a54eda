package fleet

import (
	"context"
	"time"

	"gorseledge/internal/configfeed/feedhttp"
)

const (
	serversSilentSeconds = 10.0        // without an answer of any control server, after which the log reports it
	serverWatchInterval  = time.Second // between two checks of that
)

// watchServers logs when no control server answers, and when one answers again, until this process is to follow no longer
// or the context ends.
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

// logServers logs that no control server answers, or that one does again. The age is that of the last answer in seconds.
func (f *configFollower) logServers(silent bool, age float64) {
	f.mu.Lock()
	version := f.state.Version
	f.mu.Unlock()
	event := f.options.Log.Info()
	message := "control servers answer again"
	if silent {
		event = f.options.Log.Warn()
		message = "no control server answers: the configuration stays as it is"
	}
	event.Float64("age_s", float64(int(age))).Uint64("epoch", version.Epoch).Uint64("revision", version.Revision).Msg(message)
}

// answerAge returns the seconds since a control server answered last, or since the start where none did.
func (f *configFollower) answerAge(lastAnswer float64) float64 {
	if lastAnswer == 0 {
		lastAnswer = f.startedAt
	}
	return max(f.now()-lastAnswer, 0)
}
