package feedhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedstore"
)

const eventualTimeout = 20 * time.Second // longest wait for a condition to hold

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testKeys = [][]byte{[]byte("a key of sixteen or more")}

const testFleet = "lima"

// testServer is a control server on loopback.
type testServer struct {
	name, address string
	directory     string
	stop          func()
}

// testServers are the control servers of one fleet. The first one is the writer.
type testServers struct {
	t         *testing.T
	servers   []*testServer
	addresses []configfeed.ServerAddress
}

// startServers starts count servers, each in its own region, and waits until the writer accepts proposals.
func startServers(t *testing.T, count int) *testServers {
	t.Helper()
	f := &testServers{t: t}
	var listeners []net.Listener
	for i := range count {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.7.0.%d:0", i+1))
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		name := fmt.Sprint("c", i+1)
		f.servers = append(f.servers, &testServer{name: name, address: listener.Addr().String(), directory: t.TempDir()})
		f.addresses = append(f.addresses, configfeed.ServerAddress{Name: name, Address: listener.Addr().String(),
			Region: fmt.Sprint("r", i+1)})
	}
	for i, server := range f.servers {
		f.start(server, listeners[i])
	}
	f.untilReady()
	return f
}

// start starts a server on a listener. The server is stopped when the test ends, if it was not stopped before.
func (f *testServers) start(s *testServer, listener net.Listener) {
	f.t.Helper()
	store, stored, err := feedstore.Open(s.directory)
	if err != nil {
		f.t.Fatal(err)
	}
	config := configfeed.ServerConfig{Name: s.name, Servers: f.addresses, Writer: f.servers[0].name, Seed: 1}
	server := NewServer(ServerOptions{Fleet: testFleet, Keys: testKeys, Config: config, Log: zerolog.Nop(), Store: store,
		Stored: stored})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	s.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Errorf("%s: %v", s.name, err)
		}
		store.Close()
	})
	f.t.Cleanup(s.stop)
}

// client returns a client of the fleet, which is closed when the test ends.
func (f *testServers) client() *Client {
	c := NewClient(testFleet, testKeys, nil)
	f.t.Cleanup(c.Close)
	return c
}

// writer returns the address of the writer.
func (f *testServers) writer() string { return f.servers[0].address }

// isStatus reports whether an error is a *StatusError with a status code.
func isStatus(err error, code int) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Code == code
}

// eventually waits until a condition holds, and fails the test after eventualTimeout. The description is that of the
// condition.
func eventually(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventualTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition did not hold within %v: %s", eventualTimeout, description)
		}
	}
}

// untilReady waits until the writer accepts proposals.
func (f *testServers) untilReady() {
	f.t.Helper()
	eventually(f.t, "the writer is ready", func() bool { return strings.HasPrefix(getText(f.t, f.writer(), "/-/ready"), "yes") })
}

// plainTransport opens a new connection for each request.
var plainTransport = &http.Transport{DisableKeepAlives: true}

// getText returns the answer to a request without authentication, as operators' tools send it.
func getText(t *testing.T, address, path string) string {
	t.Helper()
	answer, err := (&http.Client{Transport: plainTransport, Timeout: eventualTimeout}).Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// metric returns the value of a server's metric; its name is given without the prefix "control.".
func metric(t *testing.T, address, name string) string {
	t.Helper()
	_, rest, found := strings.Cut(getText(t, address, "/-/metrics"), "control."+name+":")
	if !found {
		t.Fatalf("the metric control.%s is missing", name)
	}
	value, _, _ := strings.Cut(rest, "|")
	return value
}

// entriesWithNodes returns a configuration that sets the number of nodes.
func entriesWithNodes(value int) []configfeed.Entry {
	return []configfeed.Entry{{Key: "nodes", Value: fmt.Sprint(value)}}
}

// version returns the version of an epoch and a revision.
func version(epoch, revision uint64) configfeed.Version {
	return configfeed.Version{Epoch: epoch, Revision: revision}
}

// apply proposes a number of nodes to the writer and returns the outcome.
func (f *testServers) apply(c *Client, id string, expected configfeed.Version, value int) configfeed.Outcome {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventualTimeout)
	defer cancel()
	p := configfeed.Proposal{ID: id, IfVersion: expected, Entries: entriesWithNodes(value), Author: "test"}
	outcome, err := c.Apply(ctx, f.writer(), p)
	if err != nil {
		f.t.Error(err)
	}
	return outcome
}
