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
	initialRetryDelay = 200 * time.Millisecond // doubles with each retry
)

// Client makes the calls of an operator's commands. Addresses are those of control servers. An error of a call is a
// *StatusError where the server answered with another status than 200. A client may be used by several goroutines.
type Client struct{ caller *caller }

// NewClient returns a client of a fleet with its keys, of which the first one signs. The map via names the address to
// dial in place of an address; nil for none.
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

// post makes a call with a body in JSON and decodes its answer.
func post[T any](ctx context.Context, c *Client, address, target string, body any) (T, error) {
	text, err := json.Marshal(body)
	if err != nil {
		var none T
		return none, fmt.Errorf("encoding the body for %s: %w", target, err)
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
		return answer, fmt.Errorf("decoding the answer to %s: %w", target, err)
	}
	return answer, nil
}

// Status returns what a server knows.
func (c *Client) Status(ctx context.Context, address string) (configfeed.ServerStatus, error) {
	return get[configfeed.ServerStatus](ctx, c, address, pathStatus)
}

// History returns the newest revisions of a server, at most limit of them, oldest first.
func (c *Client) History(ctx context.Context, address string, limit uint64) (HistoryAnswer, error) {
	return get[HistoryAnswer](ctx, c, address, fmt.Sprintf("%s?limit=%d", pathHistory, limit))
}

// State returns the configuration as of a revision of a server's present epoch.
func (c *Client) State(ctx context.Context, address string, revision uint64) (configfeed.State, error) {
	return get[configfeed.State](ctx, c, address, fmt.Sprintf("%s?revision=%d", pathState, revision))
}

// BeginEpoch asks the writer to begin an epoch. It does not retry.
func (c *Client) BeginEpoch(ctx context.Context, address string, e EpochRequest) (configfeed.Outcome, error) {
	return post[configfeed.Outcome](ctx, c, address, pathEpoch, e)
}

// Apply asks the writer for a new revision. It retries where an answer is lost: the proposal's ID makes that idempotent.
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

// isRetryable reports whether another attempt may succeed.
func isRetryable(err error) bool {
	var status *StatusError
	if !errors.As(err, &status) {
		return true
	}
	return status.Code == http.StatusServiceUnavailable
}
