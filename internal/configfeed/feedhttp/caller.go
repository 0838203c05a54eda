package feedhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	maxAnswerBytes       = 8 << 20 // holds a complete state with every character escaped, and a margin
	maxErrorBytes        = 200     // longest error text of a server that is kept
	idleConnectionTime   = 30 * time.Second
	connectionBuffer     = 1 << 10 // bytes, for each direction of a connection
	maxAnswerHeaderBytes = 8 << 10
)

// StatusError is the error of a request that a server answered with a status other than 200.
type StatusError struct {
	Code int    // HTTP status code
	Text string // one line
}

// Error returns the status code and the text.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Code, e.Text) }

var (
	errAnswerTooLarge     = fmt.Errorf("the answer is longer than %d bytes", maxAnswerBytes)
	errAnswerNotAuthentic = errors.New("the answer is not authentic")
)

// caller sends authenticated requests and verifies their answers. It keeps one idle connection for each address. It is
// safe for concurrent use.
type caller struct {
	authenticator *authenticator
	transport     *http.Transport
	via           map[string]string // maps an address to the one to dial instead; an address without an entry is dialed itself
	traffic       trafficCounter
}

// newCaller returns a caller; via may be nil.
func newCaller(a *authenticator, via map[string]string) *caller {
	c := &caller{authenticator: a, via: via}
	c.transport = &http.Transport{
		DialContext:            c.traffic.dial,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleConnectionTime,
		ReadBufferSize:         connectionBuffer,
		WriteBufferSize:        connectionBuffer,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
	return c
}

// call sends a request to an address and returns the body of the answer. The error is a *StatusError if the server
// answered with a status other than 200.
func (c *caller) call(ctx context.Context, address, method, target string, body []byte) ([]byte, error) {
	if via, found := c.via[address]; found {
		address = via
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("building a request to %s: %w", address, err)
	}
	nonce := c.authenticator.signRequest(request, body)
	c.traffic.requests.Add(1)
	answer, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("sending a request for %s: %w", request.URL.Path, err)
	}
	defer answer.Body.Close()
	c.traffic.answers.Add(1)
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("reading the answer to a request for %s: %w", request.URL.Path, err)
	case len(text) > maxAnswerBytes:
		return nil, errAnswerTooLarge
	case answer.StatusCode != http.StatusOK:
		return nil, newStatusError(answer.StatusCode, text)
	case c.authenticator.checkAnswer(request, nonce, answer, text) != accepted:
		return nil, errAnswerNotAuthentic
	}
	return text, nil
}

// newStatusError returns the error of an answer with a status other than 200. Its text is the first line of the body, at
// most maxErrorBytes of it.
func newStatusError(code int, body []byte) *StatusError {
	line, _, _ := strings.Cut(strings.TrimSpace(string(body)), "\n")
	return &StatusError{Code: code, Text: line[:min(len(line), maxErrorBytes)]}
}

// closeIdle closes the connections without a request in flight.
func (c *caller) closeIdle() { c.transport.CloseIdleConnections() }
