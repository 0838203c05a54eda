// Package discovery watches the endpoint list over HTTP. It owns one connection for each watch. A watch lasts until it
// fails or its context ends; the caller decides when to start one and how long one may be silent.
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
	maxListBytes     = 16 << 20               // maximum size of one list
	initialLineBytes = 4096                   // initial size of the buffer for a list
	minAliveInterval = 100 * time.Millisecond // between two calls of alive with the same argument
)

// DialFunc makes a connection, like the method DialContext of net.Dialer.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client watches the list of a discovery service at one address.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for the discovery service at an address. It does not connect yet.
func New(address string) *Client { return NewWithDialer(nil, address) }

// NewWithDialer returns a client that connects with dial. If dial is nil, it connects over the network.
func NewWithDialer(dial DialFunc, address string) *Client {
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// aliveReader calls alive when bytes are read. The argument is true if they end in the middle of a line, since a long
// list may arrive in many pieces.
type aliveReader struct {
	io.Reader
	alive       func(midLine bool)
	lastCall    time.Time
	lastMidLine bool
}

// Read reads some bytes. It then calls alive if the argument differs from that of the last call, or if that call was at
// least minAliveInterval ago.
func (r *aliveReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n == 0 {
		return n, err
	}
	midLine := p[n-1] != '\n'
	if midLine != r.lastMidLine || time.Since(r.lastCall) >= minAliveInterval {
		r.lastCall = time.Now()
		r.lastMidLine = midLine
		r.alive(midLine)
	}
	return n, err
}

// Watch passes each list later than index to received, until the watch ends or ctx is done. The error is never nil and is
// the reason for the end. Watch calls alive when the answer begins and as bytes of it arrive; the argument is true if the
// bytes received so far end in the middle of a line.
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

// readLists reads lists, one per line, until the end of the stream or an error. The end of the stream is io.EOF. Empty
// lines, which discovery sends as a keep-alive, are skipped.
func readLists(r io.Reader, received func(endpoint.List)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxListBytes)
	for lines.Scan() {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		list, err := endpoint.Parse(text)
		if err != nil { // if the stream failed in the middle of a line, the stream's error is the cause
			return cmp.Or(lines.Err(), fmt.Errorf("endpoint list does not parse: %w", err))
		}
		received(list)
	}
	return cmp.Or(lines.Err(), io.EOF)
}
