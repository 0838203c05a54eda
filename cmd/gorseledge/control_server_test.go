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

// The name and the key of the fleet that the control servers belong to.
const (
	controlFleet = "lima"
	controlKey   = "00112233445566778899aabbccddeeff"
)

// memoryStore is a control server's store that keeps the state in memory, also over a restart of the server.
type memoryStore struct {
	mu    sync.Mutex
	state configfeed.State
}

// Save replaces the stored state.
func (m *memoryStore) Save(state configfeed.State, _ []configfeed.Revision) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	return nil
}

// At always returns an error, since older states are not stored.
func (m *memoryStore) At(configfeed.Version) (configfeed.State, error) {
	return configfeed.State{}, errors.New("older states are not stored")
}

func (m *memoryStore) version() configfeed.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Version
}

// controlServer is the only control server of a fleet. It runs in the process of the test.
type controlServer struct {
	*testing.T
	address string
	key     []byte
	store   *memoryStore
	stop    func()
	client  *feedhttp.Client
}

// startControlServer starts a control server and begins an epoch, which has no revision yet.
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
		t.Fatalf("beginning an epoch: outcome %+v, error %v", outcome, err)
	}
	return c
}

// serve starts the server, or starts it again with its stored state.
func (c *controlServer) serve() {
	c.Helper()
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		c.Fatal(err)
	}
	server := feedhttp.NewServer(feedhttp.ServerOptions{Fleet: controlFleet, Keys: [][]byte{c.key}, Log: zerolog.Nop(), Store: c.store,
		Config: configfeed.ServerConfig{Name: "c1", Region: "west", Writer: "c1", Seed: 3,
			Servers: []configfeed.ServerAddress{{Name: "c1", Address: c.address, Region: "west"}}},
		Stored: configfeed.StoredLog{State: c.store.state}, Check: livesettings.Check})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	c.stop = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
}

// apply makes a document the newest revision and returns its version.
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
			c.Fatalf("applying a document: outcome %+v, error %v", outcome, err)
		}
	}
}
