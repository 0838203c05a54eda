package sockets

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// A goroutine that outlives Run could use a socket or the log after they are closed. None may be left, whether Run ends
// by a shutdown or by its context, while clients wait and a dial is in progress.
func TestRunLeavesNoGoroutines(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(cancel context.CancelFunc, shutdown chan<- os.Signal)
		want error
	}{
		{"context canceled", func(cancel context.CancelFunc, _ chan<- os.Signal) { cancel() }, context.Canceled},
		{"graceful shutdown", func(_ context.CancelFunc, shutdown chan<- os.Signal) { shutdown <- syscall.SIGTERM }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			host, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			discovery := startOneHostDiscovery(host.Addr().String())
			before := goleak.IgnoreCurrent()
			node := startNode(t, discovery.Listener.Addr().String())
			for id := range 3 { // each is placed and waits for a host that never answers
				node.openFlow(t, id)
			}
			attempt, err := host.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c.end(node.cancel, node.shutdown)
			if err := <-node.ran; !errors.Is(err, c.want) {
				t.Errorf("ended with %v, want %v", err, c.want)
			}
			attempt.Close()
			host.Close()
			discovery.CloseClientConnections()
			node.log.Close()
			goleak.VerifyNone(t, before)
			discovery.Close()
		})
	}
}

// startOneHostDiscovery starts a discovery that sends a list of one host and then nothing more.
func startOneHostDiscovery(host string) *httptest.Server {
	list := `{"index":1,"snapshot":true,"endpoints":[{"name":"s-1","address":"` + host +
		`","status":"SERVING","weight":1}]}` + "\n"
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeAndFlush(w, list)
		<-r.Context().Done()
	}))
}

// runningNode is a call of Run in progress.
type runningNode struct {
	address  string
	log      *io.PipeReader
	shutdown chan<- os.Signal
	cancel   context.CancelFunc
	ran      <-chan error // Run's result
}

// startNode calls Run and waits until the node has received the endpoint list.
func startNode(t *testing.T, discovery string) runningNode {
	t.Helper()
	log, lines := io.Pipe()
	shutdown := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	config := Config{Listen: "127.0.0.1:0", Discovery: discovery,
		Settings: []byte(`{"service_types":[{"name":"chat","effect":"repeatable","give_up_us":300000}],"limits":{"max_connects":1}}`)}
	ran := make(chan error, 1)
	go func() {
		err := Run(ctx, config, zerolog.New(lines), Signals{Shutdown: shutdown})
		lines.Close()
		ran <- err
	}()
	address := addressOnceListed(log)
	go io.Copy(io.Discard, log)
	return runningNode{address: address, log: log, shutdown: shutdown, cancel: cancel, ran: ran}
}

// addressOnceListed reads a node's log until the node has received the endpoint list, and returns the address on which
// the node listens.
func addressOnceListed(log io.Reader) (address string) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var line struct{ Listen, Message string }
		json.Unmarshal(lines.Bytes(), &line)
		if line.Listen != "" {
			address = line.Listen
		}
		if strings.HasPrefix(line.Message, "base list of 1") {
			break
		}
	}
	return address
}

// openFlow connects a client and sends its opening line. The connection stays open until the end of the test.
func (n runningNode) openFlow(t *testing.T, id int) {
	t.Helper()
	conn, err := net.Dial("tcp", n.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := fmt.Fprintf(conn, "OPEN %d a1 c=chat,d=60000\r\n", id); err != nil {
		t.Fatal(err)
	}
}
