package feedhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"gorseledge/internal/configfeed"
)

const (
	maxApplyAttempts  = 5
	initialRetryDelay = 200 * time.Millisecond // doubles after each retry
)

// Client makes the calls of an operator's commands. The address parameters of its methods are addresses of control
// servers. The error of a call is a *StatusError if the server answered with a status other than 200. A client is safe
// for concurrent use.
type Client struct{ caller *caller }

// NewClient returns a client of a fleet. The first of the keys signs requests, and an answer is accepted with any of them.
// The map via maps a server's address to the one to dial instead; it may be nil.
func NewClient(fleet string, keys [][]byte, via map[string]string) *Client {
	return &Client{caller: newCaller(&authenticator{fleet: fleet, keys: keys}, via)}
}

// NewProposalID returns a random identifier for a proposal.
func NewProposalID() string { return newNonce() }

// Close closes the idle connections.
func (c *Client) Close() { c.caller.closeIdle() }

// get makes a call without a body and decodes its answer.
func get[T any](ctx context.Context, c *Client, address, target string) (T, error) {
	return fetch[T](ctx, c, address, http.MethodGet, target, nil)
}

// post makes a call with a value in JSON as its body and decodes its answer.
func post[T any](ctx context.Context, c *Client, address, target string, body any) (T, error) {
	text, err := json.Marshal(body)
	if err != nil {
		var none T
		return none, fmt.Errorf("encoding the body of a request for %s: %w", target, err)
	}
	return fetch[T](ctx, c, address, http.MethodPost, target, text)
}

// fetch makes a call and decodes its answer.
func fetch[T any](ctx context.Context, c *Client, address, method, target string, body []byte) (T, error) {
	var answer T
	text, err := c.caller.call(ctx, address, method, target, body)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return answer, fmt.Errorf("decoding the answer to a request for %s: %w", target, err)
	}
	return answer, nil
}

// Status returns a server's status: its version, its peers and its followers.
func (c *Client) Status(ctx context.Context, address string) (configfeed.ServerStatus, error) {
	return get[configfeed.ServerStatus](ctx, c, address, pathStatus)
}

// History returns the newest revisions that a server has, at most limit of them, oldest first.
func (c *Client) History(ctx context.Context, address string, limit uint64) (HistoryAnswer, error) {
	return get[HistoryAnswer](ctx, c, address, fmt.Sprintf("%s?limit=%d", pathHistory, limit))
}

// State returns the configuration as of a revision of a server's current epoch.
func (c *Client) State(ctx context.Context, address string, revision uint64) (configfeed.State, error) {
	return get[configfeed.State](ctx, c, address, fmt.Sprintf("%s?revision=%d", pathState, revision))
}

// BeginEpoch asks the writer to begin a new epoch. It does not retry.
func (c *Client) BeginEpoch(ctx context.Context, address string, e EpochRequest) (configfeed.Outcome, error) {
	return post[configfeed.Outcome](ctx, c, address, pathEpoch, e)
}

// Apply proposes a new revision to the writer. It retries if the answer is lost or the writer is unavailable; that is safe
// because the writer applies a proposal ID only once.
func (c *Client) Apply(ctx context.Context, address string, p configfeed.Proposal) (configfeed.Outcome, error) {
	delay := initialRetryDelay
	for attempt := 1; ; attempt++ {
		outcome, err := post[configfeed.Outcome](ctx, c, address, pathApply, p)
		if err == nil || attempt == maxApplyAttempts || !isRetryable(err) {
			return outcome, err
		}
		select {
		case <-time.After(delay):
			delay *= 2
		case <-ctx.Done():
			return outcome, err
		}
	}
}

// isRetryable reports whether another attempt may succeed: there was no valid answer, or its status was 503.
func isRetryable(err error) bool {
	var status *StatusError
	if !errors.As(err, &status) {
		return true
	}
	return status.Code == http.StatusServiceUnavailable
}
