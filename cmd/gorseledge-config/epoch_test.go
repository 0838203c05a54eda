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

// follow starts a node's follower that polls a server. It is stopped when the test ends.
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

// If the servers lose revisions that nodes already have, the writer must not use the numbers of those revisions again: a
// node would keep its old revision under the new one's number. The writer accepts no proposals until an operator begins a
// new epoch, and the nodes then follow the new epoch.
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
	eventually(t, "the writer reports that it is not ready", func() bool { return s.status().Servers[0].NotReady != "" })
	r := s.command("apply", document(t, "nodes = 3\n"), "--if-revision", "1")
	if !r.isErrorLine(exitRefused, "not ready: version 1.2 was reported, but this server has version 1.1") {
		t.Errorf("%+v", r)
	}
	if v := node.View().Version; v != revision(2) {
		t.Errorf("the node returned to version %v, want %v", v, revision(2))
	}
	if r := s.command("new-epoch", "--note", "the disk was lost"); r.code != 0 {
		t.Fatalf("%+v", r)
	}
	epoch := configfeed.Version{Epoch: 2, Revision: 1}
	eventually(t, "the node has the new epoch", func() bool { return node.View().Version == epoch })
	s.apply("2.1", 3)
	if r := s.command("apply", document(t, "nodes = 4\n"), "--if-revision", "1.2"); !r.isErrorLine(exitRefused, "conflict") {
		t.Errorf("%+v", r)
	}
}
