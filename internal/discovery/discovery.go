// Package discovery watches the list of hosts over HTTP. When to ask, and for how long a watch may be silent, is
// not decided here: a watch lasts until it fails or is called off, and says why.
package discovery

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"gorseledge/internal/discovery/endpoint"
)

const (
	longest = 16 << 20               // bytes of one list
	often   = 100 * time.Millisecond // between two signs of life that are told
)

// Client asks discovery at one address.
type Client struct {
	address string
	http    *http.Client
}

// New gives a client; nothing is asked yet.
func New(address string) *Client { return NewWithDialer(nil, address) }

// NewWithDialer gives a client whose connections dial makes, those of the network where it is nil.
func NewWithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error), address string) *Client {
	return &Client{address: address, http: &http.Client{Transport: &http.Transport{DialContext: dial,
		DisableKeepAlives: true, DisableCompression: true}}}
}

// speech tells of what is read from a watch that it is alive, and whether that ended in the middle of a line: a long
// list may come in many pieces.
type speech struct {
	io.Reader
	alive func(within bool)
	told  time.Time
	was   bool
}

func (s *speech) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if n > 0 {
		if within := p[n-1] != '\n'; within != s.was || time.Since(s.told) >= often {
			s.told, s.was = time.Now(), within
			s.alive(within)
		}
	}
	return n, err
}

// Watch hands on each list that is told after index, until the watch ends or ctx is done; the error says why. It
// calls alive when its answer begins and whenever some of it comes, with true in the middle of a line.
func (c *Client) Watch(ctx context.Context, index int64, alive func(within bool), told func(endpoint.List)) error {
	url := fmt.Sprintf("http://%s/discovery/hosts?stream=1&index=%d", c.address, index)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	alive(false)
	lines := bufio.NewScanner(&speech{Reader: res.Body, alive: alive})
	lines.Buffer(make([]byte, 0, 4096), longest)
	for lines.Scan() {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		list, err := endpoint.Parse(text)
		if err != nil { // where the watch broke in the middle of a line, that is why
			return cmp.Or(lines.Err(), fmt.Errorf("a list that does not parse: %w", err))
		}
		told(list)
	}
	return cmp.Or(lines.Err(), io.EOF)
}
