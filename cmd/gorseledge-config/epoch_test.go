package main

import (
	"context"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
)

// follow starts a node's follower of a server; it stops with the test.
func follow(t *testing.T, s *server) *feedhttp.Follower {
	t.Helper()
	config := configfeed.FollowerConfig{Name: "n1", Region: "r1", Seed: 1,
		Servers: []configfeed.ServerAddress{{Name: s.name, Address: s.address(), Region: "r1"}}}
	node := feedhttp.NewFollower(feedhttp.FollowerOptions{Fleet: s.config.Fleet, Keys: s.config.Keys, Config: config,
		Log: zerolog.Nop(), Install: func(configfeed.State, []string) error { return nil }})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { node.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return node
}

// The numbers of revisions that only nodes still have cannot be used again: the writer waits for an operator's command.
func TestNewEpochAfterLossOfAllCopies(t *testing.T) {
	s := newServers(t, 1)[0]
	s.start()
	s.untilReady()
	s.apply("0", 1)
	s.end(syscall.SIGTERM)
	backup := filepath.Join(t.TempDir(), "backup")
	copyDirectory(t, s.config.Directory, backup)
	s.start()
	s.untilReady()
	s.apply("1", 2)
	node := follow(t, s)
	eventually(t, "the node has the second revision", func() bool { return node.View().Version == revision(2) })
	s.end(syscall.SIGKILL)
	copyDirectory(t, backup, s.config.Directory)
	s.start()
	eventually(t, "the writer knows that there was a later revision", func() bool { return s.status().Servers[0].NotReady != "" })
	if r := s.command("apply", document(t, "nodes = 3\n"), "--if-revision", "1"); !r.oneLine(exitRefused,
		"not ready: version 1.2 was reported, but this server has version 1.1") {
		t.Errorf("%+v", r)
	}
	if v := node.View().Version; v != revision(2) {
		t.Errorf("the node has gone back to %v", v)
	}
	if r := s.command("new-epoch", "--note", "the disk was lost"); r.code != 0 {
		t.Fatalf("%+v", r)
	}
	epoch := configfeed.Version{Epoch: 2, Revision: 1}
	eventually(t, "the node has the new epoch", func() bool { return node.View().Version == epoch })
	s.apply("2.1", 3)
	if r := s.command("apply", document(t, "nodes = 4\n"), "--if-revision", "1.2"); !r.oneLine(exitRefused, "conflict") {
		t.Errorf("%+v", r)
	}
}
