package configfeed

import (
	"reflect"
	"testing"
)

// readyServer returns the writer of three servers, to which a second server has reported and which has saved one revision.
func readyServer(t *testing.T) *Server {
	t.Helper()
	s := newTestServer(StoredLog{})
	s.Polled(1, 100, Poll{Follower: "b", Server: true})
	proposeAndSave(t, s, Proposal{ID: "first", Entries: []Entry{{"a", "1"}}})
	return s
}

// newTestServer returns the writer of three servers, to which no other server has reported yet.
func newTestServer(stored StoredLog) *Server {
	servers := []ServerAddress{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	return NewServer(0, ServerConfig{Name: "a", Servers: servers, Writer: "a"}, stored)
}

// proposeAndSave proposes, completes the save and returns the version of the accepted proposal.
func proposeAndSave(t *testing.T, s *Server, p Proposal) Version {
	t.Helper()
	p.IfVersion = s.State().Version
	save := saveOf(t, s.Propose(2, 1, p))
	for _, effect := range s.Saved(2, save.ID, nil) {
		if answer, ok := effect.(AnswerProposal); ok && answer.Outcome.Kind == Accepted {
			return answer.Outcome.Version
		}
	}
	t.Fatal("the proposal was not accepted")
	return Version{}
}

// saveOf returns the Save among effects, and fails the test if there is none.
func saveOf(t *testing.T, effects []ServerEffect) Save {
	t.Helper()
	for _, effect := range effects {
		if save, ok := effect.(Save); ok {
			return save
		}
	}
	t.Fatalf("no save among %+v", effects)
	return Save{}
}

// outcomes returns the outcomes of proposals by request.
func outcomes(effects []ServerEffect) map[uint64]OutcomeKind {
	kinds := map[uint64]OutcomeKind{}
	for _, effect := range effects {
		if answer, ok := effect.(AnswerProposal); ok {
			kinds[answer.Request] = answer.Outcome.Kind
		}
	}
	return kinds
}

// updatesOf returns the answers to polls by request.
func updatesOf(effects []ServerEffect) map[uint64]Update {
	updates := map[uint64]Update{}
	for _, effect := range effects {
		if answer, ok := effect.(AnswerPoll); ok {
			updates[answer.Request] = answer.Update
		}
	}
	return updates
}

// assertEqual reports an error unless two values are deeply equal.
func assertEqual[T any](t *testing.T, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
