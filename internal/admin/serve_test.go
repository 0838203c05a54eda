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

// serve serves a node that answers by ask until the end of the test, and gives its address.
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

// dial connects to the address until the end of the test.
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

// call sends text as it is, and gives the answer with its complete body. The connection must end then.
func call(t *testing.T, address, text string) (*http.Response, string) {
	t.Helper()
	conn := dial(t, address)
	go io.WriteString(conn, text) // the far side need not take all of it
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) { // more came than was read
		t.Fatalf("%.40q: %v", text, err)
	}
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("%.40q: the connection stays open: %v", text, err)
	}
	return res, string(body)
}
