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
	maxAnswerBytes    = 8 << 20 // a whole state with every character of it escaped, and room to spare
	maxErrorBytes     = 200     // of an error's text that are shown
	idleConnection    = 30 * time.Second
	connectionBuffer  = 1 << 10
	maxAnswerHeadSize = 8 << 10
)

// StatusError is an answer by which a server refuses a request itself: Code is HTTP's, Text one line.
type StatusError struct {
	Code int
	Text string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Code, e.Text) }

var errAnswerTooLarge = fmt.Errorf("an answer of more than %d bytes", maxAnswerBytes)

// caller sends authenticated requests and checks their answers. It keeps one idle connection to each address.
type caller struct {
	authenticator *authenticator
	transport     *http.Transport
	via           map[string]string // where an address is reached, if that is elsewhere
	traffic       trafficCounter
}

func newCaller(a *authenticator, via map[string]string) *caller {
	c := &caller{authenticator: a, via: via}
	c.transport = &http.Transport{DialContext: c.traffic.dial, MaxIdleConnsPerHost: 1,
		IdleConnTimeout: idleConnection, ReadBufferSize: connectionBuffer, WriteBufferSize: connectionBuffer,
		MaxResponseHeaderBytes: maxAnswerHeadSize}
	return c
}

// call sends a request to an address and returns the body of its answer. The error is a *StatusError where the server
// answered that it will not do what was asked.
func (c *caller) call(ctx context.Context, address, method, target string, body []byte) ([]byte, error) {
	if via, found := c.via[address]; found {
		address = via
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	nonce := c.authenticator.signRequest(request, body)
	c.traffic.requests.Add(1)
	answer, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	c.traffic.answers.Add(1)
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(text) > maxAnswerBytes:
		return nil, errAnswerTooLarge
	case answer.StatusCode != http.StatusOK:
		line, _, _ := strings.Cut(strings.TrimSpace(string(text)), "\n")
		return nil, &StatusError{Code: answer.StatusCode, Text: line[:min(len(line), maxErrorBytes)]}
	case c.authenticator.checkAnswer(request, nonce, answer, text) != accepted:
		return nil, errors.New("the answer is not authentic")
	}
	return text, nil
}

// closeIdle closes a connection that waits for another request.
func (c *caller) closeIdle() { c.transport.CloseIdleConnections() }
