package feedhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
)

// Paths of the server's calls.
const (
	pathPoll    = "/v1/poll"
	pathApply   = "/v1/apply"
	pathEpoch   = "/v1/epoch"
	pathStatus  = "/v1/status"
	pathHistory = "/v1/history"
	pathState   = "/v1/state"
)

// poller sends the polls that a core asks for, each on a goroutine of its own. But for the goroutines' own part it is
// used by one loop only.
type poller struct {
	caller  *caller
	log     zerolog.Logger
	report  func(request uint64, u configfeed.Update, err error) // runs on the poll's goroutine
	polls   map[uint64]sentPoll
	failing map[string]bool // the servers whose last poll failed, by name
	running sync.WaitGroup
}

// sentPoll is a poll that is waited for.
type sentPoll struct {
	server string
	cancel context.CancelFunc
}

func newPoller(c *caller, log zerolog.Logger, report func(uint64, configfeed.Update, error)) *poller {
	return &poller{caller: c, log: log, report: report, polls: map[uint64]sentPoll{}, failing: map[string]bool{}}
}

// send begins a poll.
func (p *poller) send(s configfeed.SendPoll) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Timeout*float64(time.Second)))
	p.polls[s.Request] = sentPoll{server: s.Server.Name, cancel: cancel}
	p.running.Go(func() {
		update, err := p.poll(ctx, s)
		p.report(s.Request, update, err)
	})
}

func (p *poller) poll(ctx context.Context, s configfeed.SendPoll) (u configfeed.Update, err error) {
	body, err := json.Marshal(s.Poll)
	if err != nil {
		return u, err
	}
	text, err := p.caller.call(ctx, s.Server.Address, http.MethodPost, pathPoll, body)
	if err != nil {
		return u, err
	}
	return u, json.Unmarshal(text, &u)
}

// cancel ends a poll that is not waited for any more.
func (p *poller) cancel(request uint64) {
	if poll, found := p.polls[request]; found {
		poll.cancel()
		delete(p.polls, request)
	}
}

// finish takes the end of a poll. It tells whether the poll is still waited for.
func (p *poller) finish(request uint64, err error) bool {
	poll, waitedFor := p.polls[request]
	if !waitedFor {
		return false
	}
	p.cancel(request)
	p.logReachability(poll.server, err)
	return true
}

// logReachability writes to the log when a server begins or ceases to answer.
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

// stop ends all polls and waits for their goroutines, once the loop has stopped.
func (p *poller) stop() {
	for request := range p.polls {
		p.cancel(request)
	}
	p.running.Wait()
	p.caller.closeIdle()
}
