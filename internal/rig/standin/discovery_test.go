package standin

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
)

// A new watch that did not start with the last complete list would leave a node without hosts, or with outdated ones.
func TestNewWatchStartsWithLastCompleteList(t *testing.T) {
	discovery := StartDiscovery()
	t.Cleanup(discovery.Close)
	discovery.Publish(endpoint.List{Index: 1, Complete: true})
	discovery.Publish(endpoint.List{Index: 2, Complete: true})
	discovery.Publish(endpoint.List{Index: 3})

	response, err := http.Get("http://" + discovery.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	<-discovery.WatchOpened
	lines := bufio.NewScanner(response.Body)
	for _, want := range []string{`"index":2`, `"index":3`} {
		if !lines.Scan() {
			t.Fatalf("the watch ended before %s: %v", want, lines.Err())
		}
		if got := strings.ReplaceAll(lines.Text(), " ", ""); !strings.Contains(got, want) {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
