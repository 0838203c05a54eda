package feedhttp

import (
	"encoding/json"
	"reflect"
	"testing"

	"gorseledge/internal/configfeed"
)

// If two updates that differ had the same cache key, a follower would be sent the update that was cached for another one.
// Each update is encoded with the other ones in the cache, and must decode to itself.
func TestCacheEncodesEachUpdateAsItself(t *testing.T) {
	deltas := func(from uint64) []configfeed.Delta {
		return []configfeed.Delta{{From: version(1, from), To: version(1, 3)}}
	}
	revisions := []configfeed.Revision{{Delta: deltas(1)[0], Author: "test"}}
	base := configfeed.Update{Kind: configfeed.Changes, Server: "c1", Version: version(1, 3), Deltas: deltas(1)}
	updates := []configfeed.Update{base}
	for _, change := range []func(u *configfeed.Update){
		func(u *configfeed.Update) { u.Isolated = true },
		func(u *configfeed.Update) { u.Deltas = deltas(2) },
		func(u *configfeed.Update) { u.Deltas, u.Revisions = nil, revisions },
		func(u *configfeed.Update) { u.Kind, u.Deltas = configfeed.Unchanged, nil },
		func(u *configfeed.Update) { u.Version, u.Deltas = version(1, 4), nil },
		func(u *configfeed.Update) { u.Kind, u.Deltas, u.State = configfeed.Snapshot, nil, &configfeed.State{} },
	} {
		u := base
		change(&u)
		updates = append(updates, u)
	}
	var cache updateCache
	for range 2 {
		for i, u := range updates {
			answer, err := cache.encode(u)
			if err != nil {
				t.Fatal(err)
			}
			var decoded configfeed.Update
			if err := json.Unmarshal(answer.text, &decoded); err != nil || !reflect.DeepEqual(decoded, u) {
				t.Errorf("update %d is encoded as %s, %v", i, answer.text, err)
			}
		}
	}
}
