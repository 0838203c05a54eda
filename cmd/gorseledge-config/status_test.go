package main

import (
	"errors"
	"strings"
	"testing"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/controlfile"
)

// revision returns the version of a revision of the first epoch.
func revision(revision uint64) configfeed.Version {
	return configfeed.Version{Epoch: 1, Revision: revision}
}

// A node that moved from one server to another is in the answers of both. It must be counted once, with the version that
// the server which heard from it last reported. A server that does not answer must not hide the answers of the others.
func TestStatusMergesAnswersOfAllServers(t *testing.T) {
	const now = 1000.0
	config := controlfile.Config{Writer: "c1", Servers: []controlfile.Server{{Name: "c1"}, {Name: "c2"}, {Name: "c3"}}}
	refusal := &configfeed.Refusal{Version: revision(3), Reason: "too many sockets"}
	answers := []serverAnswer{
		{server: config.Servers[0], status: configfeed.ServerStatus{Name: "c1", Writer: "c1", Version: revision(3),
			Followers: []configfeed.FollowerStatus{
				{Name: "c2", Server: true, Have: revision(3)},
				{Name: "n1", Have: revision(3), LastHeard: 999},
				{Name: "n2", Have: revision(1), LastHeard: 900}, // has moved to c2
			}}},
		{server: config.Servers[1], status: configfeed.ServerStatus{Name: "c2", Writer: "c1", Version: revision(3),
			Followers: []configfeed.FollowerStatus{
				{Name: "n2", Have: revision(3), LastHeard: 998},
				{Name: "n3", Have: revision(2), LastHeard: 997, Refused: refusal},
				{Name: "n4", Have: configfeed.Version{}, LastHeard: 990},
			}}},
		{server: config.Servers[2], err: errors.New("connection refused")},
	}
	history := []configfeed.Revision{
		{Delta: configfeed.Delta{From: revision(1), To: revision(2)}, At: 900},
		{Delta: configfeed.Delta{From: revision(2), To: revision(3)}, At: 960},
	}
	status := mergeStatus(now, config, answers, history)
	if status.Nodes != 4 || status.Current != 2 || status.Newest != revision(3) ||
		status.Oldest != (configfeed.Version{}) || len(status.Lagging) != 2 {
		t.Fatalf("%+v", status)
	}
	n3, n4 := status.Lagging[0], status.Lagging[1]
	if n3.Name != "n3" || n3.Lag != 40 || n3.AtLeast || n3.Server != "c2" || n3.HeardAgo != 3 || n3.Refused != refusal {
		t.Errorf("%+v", n3)
	}
	if n4.Name != "n4" || n4.Lag != 100 || !n4.AtLeast {
		t.Errorf("%+v", n4)
	}
	var text strings.Builder
	if err := writeStatus(&text, status); err != nil {
		t.Fatal(err)
	}
	for _, row := range []string{"nodes: 4, with the newest revision: 2, oldest: 0.0", "no answer: connection refused",
		"40 s", "over 100 s", "1.3: too many sockets"} {
		if !strings.Contains(text.String(), row) {
			t.Errorf("%q is missing in the table:\n%s", row, &text)
		}
	}
	if err := missingServersError(status); err == nil || exitCode(err) != exitRefused {
		t.Errorf("%v, want an error with exit code %d", err, exitRefused)
	}
}
