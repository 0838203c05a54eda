package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gorseledge/internal/node"
)

const patience = 20 * time.Second

// open serves a node that answers as told, and gives its address.
func open(t *testing.T, most int, ask Ask) string {
	leaks := goleak.IgnoreCurrent()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, ln, most, ask, nil) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t, leaks)
	})
	return ln.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { c.Close() })
	return c
}

// speak sends text as it stands and gives the answer and all of its body, up to the end of the connection.
func speak(t *testing.T, address, text string) (*http.Response, string) {
	t.Helper()
	c := dial(t, address)
	go io.WriteString(c, text) // the far side need not take all of it
	in := bufio.NewReader(c)
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) { // more came than was read
		t.Fatalf("%.40q: %v", text, err)
	}
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("%.40q: the connection stays open: %v", text, err)
	}
	return res, string(body)
}

// Each call, right or wrong, has the status code of the field, one answer, and then the end.
func TestCalls(t *testing.T) {
	var asked []node.Query
	address := open(t, 8, func(_ context.Context, q node.Query) (node.Reply, bool) {
		asked = append(asked, q)
		return node.Reply{OK: q.Host != "s-2", Figures: node.Figures{
			Types:    []node.FlowCounts{{Type: "chat", Established: 812, Rejected: 3, Aborted: 1, ClientLeft: 9}, {Type: "a:b|c\nd"}},
			Accepted: 900, Dispatched: 830, Open: 14, Listed: 11, Unavailable: 2}}, true
	})
	const host = " HTTP/1.1\r\nHost: x\r\n"
	figures := "lb.success.chat:812|c\nlb.overload.chat:3|c\nlb.error.chat:1|c\nlb.success.a_b_c_d:0|c\nlb.overload.a_b_c_d:0|c\n" +
		"lb.error.a_b_c_d:0|c\nlb.dispatches:830|c\nlb.concurrent:14|g\nlb.targets:11|g\nlb.targets_disabled:2|g\n"
	for _, c := range []struct {
		name, text string
		code       int
		asks       []node.Query
		body       string
	}{
		{"ready", "GET /-/ready" + host + "\r\n", 200, []node.Query{{Question: node.IsReady}}, "yes\n"},
		{"figures", "GET /-/metrics" + host + "\r\n", 200, []node.Query{{Question: node.GetFigures}}, figures},
		{"out", "PUT /-/hosts/s-1/disable" + host + "\r\n", 200, []node.Query{{Question: node.DisableHost, Host: "s-1"}}, ""},
		{"out, with a small body", "PUT /-/hosts/s-1/disable" + host + "Content-Length: 2\r\n\r\n{}", 200,
			[]node.Query{{Question: node.DisableHost, Host: "s-1"}}, ""},
		{"back", "PUT /-/hosts/s-1/enable" + host + "\r\n", 200, []node.Query{{Question: node.EnableHost, Host: "s-1"}}, ""},
		{"an escaped id", "PUT /-/hosts/s%2d1%2Fx/enable" + host + "\r\n", 200, []node.Query{{Question: node.EnableHost, Host: "s-1/x"}}, ""},
		{"an unknown host", "PUT /-/hosts/s-2/disable" + host + "\r\n", 404, []node.Query{{Question: node.DisableHost, Host: "s-2"}}, ""},
		{"an id that does not decode", "PUT /-/hosts/s-%zz/disable" + host + "\r\n", 400, nil, ""},
		{"no id", "PUT /-/hosts//disable" + host + "\r\n", 404, nil, ""},
		{"an id of dots", "PUT /-/hosts/%2e%2e/disable" + host + "\r\n", 404, nil, ""},
		{"another path", "GET /metrics" + host + "\r\n", 404, nil, ""},
		{"another verb for a host", "PUT /-/hosts/s-1/remove" + host + "\r\n", 404, nil, ""},
		{"the wrong method", "GET /-/hosts/s-1/disable" + host + "\r\n", 405, nil, ""},
		{"the wrong method for the figures", "PUT /-/metrics" + host + "\r\n", 405, nil, ""},
		{"no HTTP", "OPEN 1 a1 c=chat,d=900\r\n\r\n", 400, nil, ""},
		{"a megabyte of headers", "GET /-/ready" + host + "X: " + strings.Repeat("y", 1<<20) + "\r\n\r\n", 431, nil, ""},
		{"a body too long", "PUT /-/hosts/s-1/disable" + host + "Content-Length: 1000000\r\n\r\n" +
			strings.Repeat("y", 1<<16), 413, nil, ""},
		{"a body without end", "PUT /-/hosts/s-1/disable" + host + "Transfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("400\r\n"+strings.Repeat("y", 1024)+"\r\n", 100), 413, nil, ""},
		{"half a body", "PUT /-/hosts/s-1/disable" + host + "Content-Length: 10\r\n\r\n{", 400, nil, ""},
	} {
		asked = nil
		res, body := speak(t, address, c.text)
		if res.StatusCode != c.code || fmt.Sprint(asked) != fmt.Sprint(c.asks) || c.body != "" && body != c.body {
			t.Errorf("%s: %d, asked %v, %q", c.name, res.StatusCode, asked, body)
		}
		if c.code == 405 && res.Header.Get("Allow") == "" {
			t.Errorf("%s: no Allow", c.name)
		}
	}
}

// A node whose loop hangs is told of as such, in time.
func TestNoAnswer(t *testing.T) {
	address := open(t, 4, func(ctx context.Context, _ node.Query) (node.Reply, bool) {
		<-ctx.Done()
		return node.Reply{}, false
	})
	began := time.Now()
	res, _ := speak(t, address, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if took := time.Since(began); res.StatusCode != 503 || took > time.Second {
		t.Errorf("%d after %v", res.StatusCode, took)
	}
}

// Callers who say nothing, or half a call, keep nobody out, and are ended by themselves.
func TestSilentCallers(t *testing.T) {
	var asked atomic.Int32
	address := open(t, 16, func(context.Context, node.Query) (node.Reply, bool) {
		asked.Add(1)
		return node.Reply{OK: true}, true
	})
	for i := range 200 {
		c := dial(t, address)
		io.WriteString(c, []string{"", "GET /-/rea", "GET /-/ready HTTP/1.1\r\nHost: x\r\n"}[i%3])
		if i%20 == 19 {
			began := time.Now()
			if res, _ := speak(t, address, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"); res.StatusCode != 200 ||
				time.Since(began) > time.Second {
				t.Fatalf("after %d: %d in %v", i+1, res.StatusCode, time.Since(began))
			}
		}
	}
	if asked.Load() != 10 {
		t.Errorf("asked %d times", asked.Load())
	}
	last := dial(t, address) // nobody needs its room: its time ends it
	if n, err := io.Copy(io.Discard, last); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// A complete call is not ended for others, however many come: they wait.
func TestCompleteCallStays(t *testing.T) {
	asked, free := make(chan bool, 8), make(chan bool)
	address := open(t, 2, func(context.Context, node.Query) (node.Reply, bool) {
		asked <- true
		<-free
		return node.Reply{OK: true}, true
	})
	codes := make(chan string, 3)
	for range cap(codes) {
		c := dial(t, address)
		io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		go func() {
			text, _ := bufio.NewReader(c).ReadString('\n')
			codes <- text
		}()
	}
	<-asked
	<-asked // both places are taken
	for range 20 {
		dial(t, address)
	}
	close(free)
	for range cap(codes) {
		if got := <-codes; got != "HTTP/1.1 200 OK\r\n" {
			t.Errorf("told %q", got)
		}
	}
}
