package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// callTimeout is how long a test waits for an answer.
const callTimeout = 20 * time.Second

// serve serves the admin address of a node, whose replies come from ask, until the end of the test. It returns the
// address.
func serve(t *testing.T, maxConnections int, ask QueryFunc) string {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, listener, maxConnections, ask, nil) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t, leaks)
	})
	return listener.Addr().String()
}

// dial connects to an address. The connection is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(callTimeout))
	t.Cleanup(func() { conn.Close() })
	return conn
}

// call sends text unchanged and returns the answer with its complete body. It fails the test if the connection does not
// end after that.
func call(t *testing.T, address, text string) (*http.Response, string) {
	t.Helper()
	conn := dial(t, address)
	go io.WriteString(conn, text) // the server need not read all of it
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) { // the server closed with bytes of the call unread
		t.Fatalf("%.40q: %v", text, err)
	}
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("%.40q: the connection stays open: %v", text, err)
	}
	return res, string(body)
}
