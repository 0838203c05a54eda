// Package discovery watches the list of hosts over HTTP. When to ask is not decided here: a watch lasts until
// it fails, and says why.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"gorseledge/internal/discovery/roster"
)

const (
	firstWait = 6 * time.Second // for an answer to begin: discovery works through calls in turn
	quiet     = 5 * time.Second // a watch says something every two seconds
	longest   = 16 << 20        // bytes of one list
)

// ErrSilent ends a watch that says nothing any more.
var ErrSilent = errors.New("the watch is silent")

// Client asks discovery at one address.
type Client struct {
	address string
	http    *http.Client
}

// New gives a client; nothing is asked yet.
func New(address string) *Client {
	return &Client{address, &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DisableCompression: true}}}
}

// Watch hands on each list that is told after index, until the watch ends; the error says why it did.
func (c *Client) Watch(ctx context.Context, index int64, told func(roster.List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alive := time.AfterFunc(firstWait, func() { cancel(ErrSilent) })
	defer alive.Stop()
	url := fmt.Sprintf("http://%s/discovery/hosts?stream=1&index=%d", c.address, index)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(make([]byte, 0, 4096), longest)
	for lines.Scan() {
		alive.Reset(quiet)
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		list, err := roster.Read(text)
		if err != nil {
			return fmt.Errorf("a list that does not parse: %w", err)
		}
		told(list)
	}
	if err := errors.Join(context.Cause(ctx), lines.Err()); err != nil {
		return err
	}
	return io.EOF
}
