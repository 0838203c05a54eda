// Package discovery watches the list of hosts over HTTP. When to ask is not decided here: a watch lasts until
// it fails, and says why.
package discovery

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"gorseledge/internal/discovery/roster"
)

// What a watch that has fallen silent does not bring counts as told 6 s later. Within that time its silence has
// to be found, and the call that follows has to be made and answered, in its turn. Guards against sends to
// servers that left meanwhile: with 5 s for silence and 6 s for an answer to begin, that call came too late.
const (
	firstWait = 4 * time.Second         // for an answer to begin: discovery works through calls in turn
	quiet     = 2500 * time.Millisecond // a watch says something every two seconds
	longest   = 16 << 20                // bytes of one list
	patience  = 4                       // doublings of firstWait at the most
)

// ErrSilent ends a watch that says nothing any more.
var ErrSilent = errors.New("the watch is silent")

// Client asks discovery at one address.
type Client struct {
	address    string
	http       *http.Client
	unanswered atomic.Int32 // calls given up in a row before an answer began
}

// New gives a client; nothing is asked yet.
func New(address string) *Client { return Through(nil, address) }

// Through gives a client whose connections dial makes, those of the network where it is nil.
func Through(dial func(ctx context.Context, network, address string) (net.Conn, error), address string) *Client {
	return &Client{address: address, http: &http.Client{Transport: &http.Transport{DialContext: dial,
		DisableKeepAlives: true, DisableCompression: true}}}
}

// answerWithin is how long the next call waits for its answer to begin. Guards against a discovery that needs
// longer than a call waits: no call of any node would ever be answered.
func (c *Client) answerWithin() time.Duration {
	return firstWait << min(c.unanswered.Load(), patience)
}

// speech puts off the end of a watch with all that is read from it: a long list may come in many pieces.
type speech struct {
	io.Reader
	alive *time.Timer
}

func (s speech) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if n > 0 {
		s.alive.Reset(quiet)
	}
	return n, err
}

// Watch hands on each list that is told after index, until the watch ends; the error says why it did, and is
// ErrSilent where nothing came for too long.
func (c *Client) Watch(ctx context.Context, index int64, told func(roster.List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alive := time.AfterFunc(c.answerWithin(), func() { cancel(ErrSilent) })
	defer alive.Stop()
	url := fmt.Sprintf("http://%s/discovery/hosts?stream=1&index=%d", c.address, index)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := c.http.Do(req)
	if err != nil {
		if context.Cause(ctx) == ErrSilent {
			c.unanswered.Add(1)
		}
		return cmp.Or(context.Cause(ctx), err)
	}
	defer res.Body.Close()
	c.unanswered.Store(0)
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	alive.Reset(quiet)
	lines := bufio.NewScanner(speech{res.Body, alive})
	lines.Buffer(make([]byte, 0, 4096), longest)
	for lines.Scan() {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		list, err := roster.Read(text)
		if err != nil {
			// Where the watch broke in the middle of a line, that is why.
			return cmp.Or(context.Cause(ctx), lines.Err(), fmt.Errorf("a list that does not parse: %w", err))
		}
		told(list)
	}
	return cmp.Or(context.Cause(ctx), lines.Err(), io.EOF)
}
