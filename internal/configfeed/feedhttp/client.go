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
	applyAttempts   = 5 // a proposal is repeated under its identifier where its answer is lost
	firstRetryDelay = 200 * time.Millisecond
)

// Client makes the calls of an operator's commands. Addresses are those of control servers.
type Client struct{ caller *caller }

// NewClient returns a client of a fleet; via is where an address is reached, if that is elsewhere.
func NewClient(fleet string, keys [][]byte, via map[string]string) *Client {
	return &Client{caller: newCaller(&authenticator{fleet: fleet, keys: keys}, via)}
}

// NewProposalID returns an identifier that no other proposal has.
func NewProposalID() string { return newNonce() }

// Close closes the connections that are kept.
func (c *Client) Close() { c.caller.closeIdle() }

func fetch[T any](ctx context.Context, c *Client, address, method, target string, body any) (answer T, err error) {
	var text []byte
	if body != nil {
		if text, err = json.Marshal(body); err != nil {
			return answer, err
		}
	}
	text, err = c.caller.call(ctx, address, method, target, text)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(text, &answer)
}

// Status asks a server what it knows.
func (c *Client) Status(ctx context.Context, address string) (configfeed.ServerStatus, error) {
	return fetch[configfeed.ServerStatus](ctx, c, address, http.MethodGet, pathStatus, nil)
}

// History asks a server for its newest revisions, limit at the most.
func (c *Client) History(ctx context.Context, address string, limit uint64) (HistoryAnswer, error) {
	return fetch[HistoryAnswer](ctx, c, address, http.MethodGet, fmt.Sprintf("%s?limit=%d", pathHistory, limit), nil)
}

// State asks a server for the configuration as of a revision of its present epoch.
func (c *Client) State(ctx context.Context, address string, revision uint64) (configfeed.State, error) {
	return fetch[configfeed.State](ctx, c, address, http.MethodGet, fmt.Sprintf("%s?revision=%d", pathState, revision), nil)
}

// NewEpoch asks the writer for a new epoch.
func (c *Client) NewEpoch(ctx context.Context, address string, e EpochRequest) (configfeed.Outcome, error) {
	return fetch[configfeed.Outcome](ctx, c, address, http.MethodPost, pathEpoch, e)
}

// Apply asks the writer for a new revision. Where an answer is lost, it asks again: the writer applies a proposal once.
func (c *Client) Apply(ctx context.Context, address string, p configfeed.Proposal) (outcome configfeed.Outcome, err error) {
	delay := firstRetryDelay
	for attempt := 1; ; attempt++ {
		outcome, err = fetch[configfeed.Outcome](ctx, c, address, http.MethodPost, pathApply, p)
		if err == nil || attempt == applyAttempts || !isRetryable(err) {
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
	status := (*StatusError)(nil)
	return !errors.As(err, &status) || status.Code == http.StatusServiceUnavailable
}
