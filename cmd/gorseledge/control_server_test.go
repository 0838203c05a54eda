package main

import (
	"context"
	"encoding/hex"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
	"gorseledge/internal/livesettings"
)

// The fleet of the control servers, and its key.
const (
	controlFleet = "lima"
	controlKey   = "00112233445566778899aabbccddeeff"
)

// memoryStore keeps what a control server promises for as long as the test runs.
type memoryStore struct {
	mu    sync.Mutex
	state configfeed.State
}

// Save keeps a state; no older one can be asked for.
func (m *memoryStore) Save(state configfeed.State, _ []configfeed.Revision) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	return nil
}

// At always fails.
func (m *memoryStore) At(configfeed.Version) (configfeed.State, error) {
	return configfeed.State{}, errors.New("nothing older is kept")
}

func (m *memoryStore) version() configfeed.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Version
}

// controlServer is a fleet's only control server, in the test's own process.
type controlServer struct {
	*testing.T
	address string
	key     []byte
	store   *memoryStore
	stop    func()
	client  *feedhttp.Client
}

// startControlServer starts a control server with an epoch of its own and no revision.
func startControlServer(t *testing.T) *controlServer {
	t.Helper()
	key, err := hex.DecodeString(controlKey)
	if err != nil {
		t.Fatal(err)
	}
	c := &controlServer{T: t, address: freeAddress(t), key: key, store: &memoryStore{},
		client: feedhttp.NewClient(controlFleet, [][]byte{key}, nil)}
	t.Cleanup(c.client.Close)
	c.serve()
	t.Cleanup(func() { c.stop() })
	outcome, err := c.client.BeginEpoch(t.Context(), c.address, feedhttp.EpochRequest{Author: "test"})
	if err != nil || outcome.Kind != configfeed.Accepted {
		t.Fatalf("%+v, %v", outcome, err)
	}
	return c
}

// serve starts the server, or starts it again with what it had on disk.
func (c *controlServer) serve() {
	c.Helper()
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		c.Fatal(err)
	}
	server := feedhttp.NewServer(feedhttp.ServerOptions{Fleet: controlFleet, Keys: [][]byte{c.key}, Log: zerolog.Nop(), Store: c.store,
		Config: configfeed.ServerConfig{Name: "c1", Region: "west", Writer: "c1", Seed: 3,
			Servers: []configfeed.ServerAddress{{Name: "c1", Address: c.address, Region: "west"}}},
		Stored: configfeed.Stored{State: c.store.state}, Check: livesettings.Check})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	c.stop = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
}

// apply makes a document the newest revision and gives its version.
func (c *controlServer) apply(document string) configfeed.Version {
	c.Helper()
	entries, err := livesettings.Parse("live.toml", []byte(document))
	if err != nil {
		c.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		outcome, err := c.client.Apply(c.Context(), c.address, configfeed.Proposal{ID: feedhttp.NewProposalID(),
			IfVersion: c.store.version(), Entries: entries, Author: "test"})
		if err == nil && outcome.Kind == configfeed.Accepted {
			return outcome.Version
		}
		if time.Now().After(end) {
			c.Fatalf("%+v, %v", outcome, err)
		}
	}
}
