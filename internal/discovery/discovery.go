// Package discovery watches the endpoint list over HTTP. It owns one connection for each watch. When to ask, and for how
// long a watch may be silent, is not decided here: a watch lasts until it fails or its context ends.
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
	maxListBytes      = 16 << 20               // of one list
	initialLineBytes  = 4096                   // of the buffer for a list
	aliveSignInterval = 100 * time.Millisecond // between two signs of life in the same state
)

// DialFunc makes a connection, as net.Dialer's DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client watches the list of a discovery service at one address.
type Client struct {
	address string
	http    *http.Client
}

// New gives a client; nothing is asked yet.
func New(address string) *Client { return NewWithDialer(nil, address) }

// NewWithDialer gives a client whose connections dial makes, those of the network where it is nil.
func NewWithDialer(dial DialFunc, address string) *Client {
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// aliveReader calls alive when something is read, with true where that ended in the middle of a line: a long list may
// come in many pieces.
type aliveReader struct {
	io.Reader
	alive       func(midLine bool)
	lastSign    time.Time
	lastMidLine bool
}

// Read reads, and calls alive at once where the state has changed, and otherwise from time to time.
func (r *aliveReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n == 0 {
		return n, err
	}
	midLine := p[n-1] != '\n'
	if midLine != r.lastMidLine || time.Since(r.lastSign) >= aliveSignInterval {
		r.lastSign = time.Now()
		r.lastMidLine = midLine
		r.alive(midLine)
	}
	return n, err
}

// Watch hands each list that comes after index to received, until the watch ends or ctx is done; the error, never nil,
// says why. It calls alive when the answer begins and whenever some of it comes, with true in the middle of a line.
func (c *Client) Watch(ctx context.Context, index int64, alive func(midLine bool), received func(endpoint.List)) error {
	url := fmt.Sprintf("http://%s/discovery/hosts?stream=1&index=%d", c.address, index)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	alive(false)
	return readLists(&aliveReader{Reader: response.Body, alive: alive}, received)
}

// readLists reads one list a line until the end, which is io.EOF, or another error. Empty lines are signs of life.
func readLists(r io.Reader, received func(endpoint.List)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxListBytes)
	for lines.Scan() {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		list, err := endpoint.Parse(text)
		if err != nil { // where the watch broke in the middle of a line, that is why
			return cmp.Or(lines.Err(), fmt.Errorf("a list that does not parse: %w", err))
		}
		received(list)
	}
	return cmp.Or(lines.Err(), io.EOF)
}
