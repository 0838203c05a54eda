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
	cancels map[uint64]context.CancelFunc
	server  string // that was polled last
	running sync.WaitGroup
}

func newPoller(c *caller, log zerolog.Logger, report func(uint64, configfeed.Update, error)) *poller {
	return &poller{caller: c, log: log, report: report, cancels: map[uint64]context.CancelFunc{}}
}

// send begins a poll.
func (p *poller) send(s configfeed.SendPoll) {
	if s.Server.Name != p.server {
		p.log.Info().Str("server", s.Server.Name).Str("address", s.Server.Address).Str("was", p.server).
			Msg("follows a control server")
		p.server = s.Server.Name
		p.caller.closeIdle()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Timeout*float64(time.Second)))
	p.cancels[s.Request] = cancel
	p.running.Go(func() {
		update, err := p.poll(ctx, s)
		if err != nil {
			p.log.Debug().Err(err).Str("server", s.Server.Name).Msg("poll failed")
		}
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
	if cancel, found := p.cancels[request]; found {
		cancel()
		delete(p.cancels, request)
	}
}

// finish tells whether a poll that has ended is still waited for, and forgets it.
func (p *poller) finish(request uint64) bool {
	_, waitedFor := p.cancels[request]
	p.cancel(request)
	return waitedFor
}

// stop ends all polls and waits for their goroutines, once the loop has stopped.
func (p *poller) stop() {
	for request := range p.cancels {
		p.cancel(request)
	}
	p.running.Wait()
	p.caller.closeIdle()
}
