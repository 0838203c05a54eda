package fleet

import (
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node/live"
)

// testState returns a valid state with the given revision number.
func testState(number uint64) configfeed.State {
	return configfeed.State{
		Version: configfeed.Version{Epoch: 1, Revision: number},
		Entries: []configfeed.Entry{{Key: "limits.sockets", Value: "900"}, {Key: "nodes", Value: "30"}},
		Digest:  0xf6014f494c73b015,
	}
}

// testRevision returns a valid revision with the given number.
func testRevision(t *testing.T, number uint64) live.Revision {
	t.Helper()
	revision, err := decodeRevision(testState(number))
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// newTestFollower returns a follower that is not running and whose clock always returns 1000 s.
func newTestFollower(t *testing.T, o view.Options) *configFollower {
	t.Helper()
	o.Log = zerolog.Nop()
	return newConfigFollower(Config{Fleet: "lima"}, o, func() float64 { return 1000 })
}

// Guards against a handover after which both processes of a node follow the control servers, or none does.
func TestOneProcessOfANodeFollows(t *testing.T) {
	for _, c := range []struct {
		name      string
		successor bool
		change    func(f *configFollower)
		want      bool
	}{
		{"first process", false, func(*configFollower) {}, true},
		{"successor while its predecessor follows", true, func(*configFollower) {}, false},
		{"successor after its predecessor", true, func(f *configFollower) { f.setPredecessorDone() }, true},
		{"predecessor of a successor", false, func(f *configFollower) { f.setHandedOver(true) }, false},
		{"predecessor of a successor that ended", false, func(f *configFollower) {
			f.setHandedOver(true)
			f.setHandedOver(false)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFollower(t, view.Options{Successor: c.successor})
			c.change(f)
			if got := f.shouldFollow(); got != c.want {
				t.Errorf("follows %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a view that shows a former revision after a newer one was put in force.
func TestRevisionInForceIsRecorded(t *testing.T) {
	f := newTestFollower(t, view.Options{InForce: testRevision(t, 3)})
	if v := f.view(); v.Epoch != 1 || v.Revision != 3 || v.Since != 1000 || v.Follows {
		t.Errorf("at the start %+v", v)
	}
	f.inForce(testRevision(t, 4), nil)
	if v := f.view(); v.Revision != 4 {
		t.Errorf("after a newer revision %+v", v)
	}
}

// Guards against a view made of two moments: the node puts a revision in force before its follower records that, or while
// another process follows, and the view showed it with the refusal that it ends and a newest version older than itself.
func TestViewShowsOneMoment(t *testing.T) {
	refusal := func(number uint64) *configfeed.Refusal {
		return &configfeed.Refusal{Version: testState(number).Version, Reason: "does not fit"}
	}
	for _, c := range []struct {
		name        string
		known       configfeed.FollowerView // as of the follower's last input
		inForce     uint64
		wantNewest  uint64
		wantRefused uint64 // 0 for no refusal
	}{
		{"the refused revision is older than the one in force",
			configfeed.FollowerView{Version: testState(2).Version, Newest: testState(3).Version, Refused: refusal(3)}, 4, 4, 0},
		{"the refused revision is in force after all, through the peer process",
			configfeed.FollowerView{Version: testState(2).Version, Newest: testState(3).Version, Refused: refusal(3)}, 3, 3, 0},
		{"the refused revision is newer than the one in force",
			configfeed.FollowerView{Version: testState(2).Version, Newest: testState(5).Version, Refused: refusal(5)}, 4, 5, 5},
		{"nothing refused, nothing known",
			configfeed.FollowerView{}, 4, 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFollower(t, view.Options{InForce: testRevision(t, 2)})
			f.lastView = c.known
			f.inForce(testRevision(t, c.inForce), nil)
			v := f.view()
			refused := uint64(0)
			if v.Refused != nil {
				refused = v.Refused.Revision
			}
			if v.Revision != c.inForce || v.Newest.Revision != c.wantNewest || refused != c.wantRefused {
				t.Errorf("revision %d, newest %d, refused %d; want %d, %d, %d", v.Revision, v.Newest.Revision, refused,
					c.inForce, c.wantNewest, c.wantRefused)
			}
		})
	}
}

// Guards against a follower that continues from a state that is damaged or missing, and so never receives the keys that it
// lacks.
func TestRevisionWithoutValidStateIsNotRecorded(t *testing.T) {
	state := testState(4)
	state.Digest++
	wrongDigest, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		revision live.Revision
	}{
		{"zero", live.Revision{}},
		{"no state", live.Revision{Epoch: 1, Number: 4}},
		{"state that is not JSON", live.Revision{Epoch: 1, Number: 4, State: json.RawMessage("{")}},
		{"digest of another state", live.Revision{Epoch: 1, Number: 4, State: wrongDigest}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFollower(t, view.Options{InForce: testRevision(t, 3)})
			f.inForce(c.revision, nil)
			if v := f.view(); v.Revision != 3 {
				t.Errorf("revision %d, want 3", v.Revision)
			}
		})
	}
}

// Guards against an age since 1970 before the first answer, and a negative age after a step of the clock.
func TestAnswerAgeCountsFromStartBeforeFirstAnswer(t *testing.T) {
	f := newTestFollower(t, view.Options{})
	f.startedAt = 990
	for _, c := range []struct{ lastAnswer, want float64 }{{0, 10}, {997, 3}, {1001, 0}} {
		if got := f.answerAge(c.lastAnswer); got != c.want {
			t.Errorf("last answer %g: %g s, want %g s", c.lastAnswer, got, c.want)
		}
	}
}
