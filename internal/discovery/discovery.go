// Package discovery watches the endpoint list over HTTP. It owns one connection for each watch. A watch lasts until it
// fails or its context ends; the caller decides when to start one and how long one may be silent.
package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"gorseledge/internal/discovery/endpoint"
)

// minActivityInterval is the minimum time between two calls of onActivity with the same argument, so that a burst of reads
// does not cause a call for each.
const minActivityInterval = 100 * time.Millisecond

// DialFunc makes a connection, like the method DialContext of net.Dialer.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client watches the list of a discovery service at one address.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for the discovery service at an address. It does not connect yet.
func New(address string) *Client { return NewWithDialer(nil, address) }

// NewWithDialer returns a client that connects with dial. If dial is nil, it uses the default dialer.
func NewWithDialer(dial DialFunc, address string) *Client {
	// Without keep-alives, because each watch has its own connection.
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// activityReader calls onActivity when bytes are read. The argument is true if the bytes end in the middle of a line or of
// a list over several lines, as when a long list arrives in pieces.
type activityReader struct {
	io.Reader
	onActivity  func(midList bool)
	depth       objectDepth
	lastCall    time.Time
	lastMidList bool
}

// Read reads some bytes. It then calls onActivity if the argument differs from that of the last call, or if that call was
// at least minActivityInterval ago.
func (r *activityReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n == 0 {
		return n, err
	}
	r.depth.advance(p[:n])
	midList := p[n-1] != '\n' || !r.depth.between()
	if midList != r.lastMidList || time.Since(r.lastCall) >= minActivityInterval {
		r.lastCall = time.Now()
		r.lastMidList = midList
		r.onActivity(midList)
	}
	return n, err
}

// Watch passes each list later than index to received, until the watch fails or ctx is done. It always returns a non-nil
// error, which is the reason for the end. Watch calls onActivity when the answer begins and as bytes of it arrive; the
// argument is true if the bytes received so far end in the middle of a list.
func (c *Client) Watch(ctx context.Context, index int64, onActivity func(midList bool), received func(endpoint.List)) error {
	url := fmt.Sprintf("http://%s/discovery/hosts?stream=1&index=%d", c.address, index)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("create the request for the endpoint list: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	onActivity(false)
	return readLists(&activityReader{Reader: response.Body, onActivity: onActivity}, received)
}
