package feedhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
)

// Paths of a control server's calls.
const (
	pathPoll    = "/v1/poll"
	pathApply   = "/v1/apply"
	pathEpoch   = "/v1/epoch"
	pathStatus  = "/v1/status"
	pathHistory = "/v1/history"
	pathState   = "/v1/state"
)

// poller sends the polls that the core of a server or follower asks for. Each poll runs on its own goroutine. The goroutine
// of one loop calls all methods, except for poll and the function report, which the polls' goroutines call.
type poller struct {
	caller  *caller
	log     zerolog.Logger
	report  func(request uint64, u configfeed.Update, err error)
	polls   map[uint64]sentPoll // polls whose answers are awaited, by request number
	failing map[string]bool     // servers whose last poll failed, by name
	running sync.WaitGroup      // goroutines of the polls
}

// sentPoll is a poll whose answer is awaited.
type sentPoll struct {
	server string // name of the polled server
	cancel context.CancelFunc
}

// newPoller returns a poller that calls report with the result of each poll.
func newPoller(c *caller, log zerolog.Logger, report func(uint64, configfeed.Update, error)) *poller {
	return &poller{caller: c, log: log, report: report, polls: map[uint64]sentPoll{}, failing: map[string]bool{}}
}

// send starts a poll.
func (p *poller) send(s configfeed.SendPoll) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Timeout*float64(time.Second)))
	p.polls[s.Request] = sentPoll{server: s.Server.Name, cancel: cancel}
	p.running.Go(func() {
		update, err := p.poll(ctx, s)
		p.report(s.Request, update, err)
	})
}

// poll sends a poll and waits for its answer.
func (p *poller) poll(ctx context.Context, s configfeed.SendPoll) (configfeed.Update, error) {
	var u configfeed.Update
	body, err := json.Marshal(s.Poll)
	if err != nil {
		return u, fmt.Errorf("encoding a poll: %w", err)
	}
	text, err := p.caller.call(ctx, s.Server.Address, http.MethodPost, pathPoll, body)
	if err != nil {
		return u, err
	}
	if err := json.Unmarshal(text, &u); err != nil {
		return u, fmt.Errorf("decoding the answer to a poll: %w", err)
	}
	return u, nil
}

// cancel ends a poll whose answer is no longer awaited.
func (p *poller) cancel(request uint64) {
	if poll, found := p.polls[request]; found {
		poll.cancel()
		delete(p.polls, request)
	}
}

// finish records the result of a poll, and returns whether its answer was still awaited.
func (p *poller) finish(request uint64, err error) bool {
	poll, awaited := p.polls[request]
	if !awaited {
		return false
	}
	p.cancel(request)
	p.logReachability(poll.server, err)
	return true
}

// logReachability logs when a server stops answering, and when it answers again.
func (p *poller) logReachability(server string, err error) {
	switch {
	case err != nil && !p.failing[server]:
		p.failing[server] = true
		p.log.Warn().Err(err).Str("control_server", server).Msg("a control server does not answer")
	case err == nil && p.failing[server]:
		delete(p.failing, server)
		p.log.Info().Str("control_server", server).Msg("a control server answers again")
	}
}

// stop ends all polls and waits for their goroutines. It must be called after the loop has stopped.
func (p *poller) stop() {
	for request := range p.polls {
		p.cancel(request)
	}
	p.running.Wait()
	p.caller.closeIdle()
}
