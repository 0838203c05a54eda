package placement

import (
	"math"
	"testing"
)

// retryCase is a flow whose first attempt has ended, and what has to follow.
type retryCase struct {
	name        string
	idempotency Idempotency
	scope       KeyScope
	outcome     Outcome
	after       float64 // seconds until the first attempt ended; the key lives for 1 s
	dialTimeout float64
	want        Action
	sameScope   func(first, second Endpoint) bool // what holds for the servers of both attempts; nil for anything
}

func sameZone(first, second Endpoint) bool { return first.Zone == second.Zone }

func sameCell(first, second Endpoint) bool { return first.Cell == second.Cell }

func retryCases() []retryCase {
	cases := []retryCase{
		{"key by zone", IdempotentWithKey, KeyScopeZone, TimedOut, 0.1, 0, Connect, sameZone},
		{"key by cell", IdempotentWithKey, KeyScopeCell, Failed, 0.1, 0, Connect, sameCell},
		{"key at all servers", IdempotentWithKey, KeyScopeAll, ConnectionLost, 0.1, 0, Connect, nil},
		{"key expired", IdempotentWithKey, KeyScopeAll, ConnectionLost, 1.5, 0, Abort, nil},
		{"key expired once dialed", IdempotentWithKey, KeyScopeAll, ConnectionLost, 0.8, 0.25, Abort, nil},
		{"key valid once dialed", IdempotentWithKey, KeyScopeAll, ConnectionLost, 0.7, 0.25, Connect, nil},
		{"key by zone expired", IdempotentWithKey, KeyScopeZone, TimedOut, 1.5, 0, Abort, nil},
		{"key by cell expired, never ran", IdempotentWithKey, KeyScopeCell, Rejected, 1.5, 0, Connect, nil},
	}
	for _, outcome := range []Outcome{Failed, Rejected, TimedOut, ConnectFailed, ConnectionLost, Canceled, NotSent} {
		want := Abort
		if outcome == Rejected || outcome == ConnectFailed || outcome == NotSent {
			want = Connect
		}
		cases = append(cases,
			retryCase{"at most once", AtMostOnce, KeyScopeAll, outcome, 0.1, 0, want, nil},
			retryCase{"idempotent", Idempotent, KeyScopeAll, outcome, 0.1, 0, Connect, nil})
	}
	return cases
}

func TestRetryNeverRepeatsAnEffect(t *testing.T) {
	for _, c := range retryCases() {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(6, func(s *Settings) {
				s.ServiceTypes[0].Idempotency = c.idempotency
				s.ServiceTypes[0].KeyScope = c.scope
				s.ServiceTypes[0].KeyLifetime = 1
				s.DialTimeout = c.dialTimeout
			})
			_, first := b.arrive(0, Arrival{ClientKey: 5, Timeout: 4})
			b.now += c.after
			b.AttemptEnded(b.now, 0, 0, c.outcome, false)
			decisions := b.decisions()
			if len(decisions) == 0 || decisions[0].Action != c.want {
				t.Fatalf("after outcome %d: got %+v, want action %d", c.outcome, decisions, c.want)
			}
			second := b.serverIndex(decisions[0].Server)
			if c.sameScope != nil && !c.sameScope(b.endpoint(first, Ready), b.endpoint(second, Ready)) {
				t.Fatalf("the retry left the key's scope: %d then %d", first, second)
			}
			b.AttemptEnded(b.now, 0, 1, TimedOut, true)
			again := b.decisions()
			if c.want != Connect && len(again) > 0 && again[0].Action <= Abort {
				t.Fatalf("a decision after the final answer: %+v", again)
			}
		})
	}
}

func TestFlowGetsOneAnswerInTime(t *testing.T) {
	for _, c := range []struct {
		name         string
		idempotency  Idempotency
		mostAttempts int
	}{
		{"idempotent", Idempotent, 3},
		{"idempotent with key", IdempotentWithKey, 3},
		{"at most once", AtMostOnce, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(6, func(s *Settings) {
				s.ServiceTypes[0].Idempotency = c.idempotency
				s.ServiceTypes[0].KeyLifetime = 5
			})
			answers, attempts := b.failAllAttempts()
			if answers != 1 || attempts > c.mostAttempts || b.now >= 1001.8 {
				t.Fatalf("%d answers after %d attempts at %.3f", answers, attempts, b.now)
			}
			if !b.Release(0) {
				t.Fatal("the index of an ended flow is not free")
			}
		})
	}
}

// failAllAttempts adds a flow with a timeout of 1.8 s and lets each of its attempts time out.
func (b *testBalancer) failAllAttempts() (answers, attempts int) {
	decision, _ := b.arrive(0, Arrival{ClientKey: 9, Timeout: 1.8})
	for decision.Action == Connect {
		attempts++
		b.now += decision.Seconds
		b.AttemptEnded(b.now, 0, attempts-1, TimedOut, false)
		for _, decision = range b.decisions() {
			if decision.Action == Reject || decision.Action == Abort {
				answers++
			}
		}
	}
	return answers, attempts
}

// With 200 servers, each of the 200 attempts of one flow goes to another one.
func TestRetryGoesToAnotherServer(t *testing.T) {
	const servers = 200
	b := newTestBalancer(servers, func(s *Settings) { s.MaxAttempts = servers })
	_, first := b.arrive(0, Arrival{ClientKey: 9, Timeout: 1e6})
	seen := map[int]bool{first: true}
	for attempt := range servers - 1 {
		b.now += 0.001
		b.AttemptEnded(b.now, 0, attempt, NotSent, false)
		decisions := b.decisions()
		if len(decisions) != 1 || decisions[0].Action != Connect || seen[b.serverIndex(decisions[0].Server)] {
			t.Fatalf("after %d attempts: %+v", attempt+1, decisions)
		}
		seen[b.serverIndex(decisions[0].Server)] = true
	}
}

// Where a node sees few connections, clients that return during an overload are paced; else they are placed.
func TestReturningClientsArePaced(t *testing.T) {
	for _, c := range []struct {
		name        string
		slowShare   float64
		uncertainty float64
		returning   bool
		least, most int
	}{
		{"overload, uncertain, returning", 1, 1, true, 100, 100},
		{"overload, uncertain, new", 1, 1, false, 0, 0},
		{"overload, sees its servers, returning", 1, 0.04, true, 1, 25},
		{"no overload, uncertain, returning", 0, 1, true, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(40, nil)
			b.overload.slowShare = c.slowShare
			b.overload.uncertainty = c.uncertainty
			rejected := 0
			for id := range 100 {
				decision, _ := b.arrive(id, Arrival{ClientKey: uint64(id + 1), GroupKey: 7, Returning: c.returning})
				if decision.Action == Reject && decision.Seconds > 0 {
					rejected++
				}
			}
			if rejected < c.least || rejected > c.most {
				t.Errorf("%d of 100 rejected, want %d to %d", rejected, c.least, c.most)
			}
		})
	}
}

// One of many nodes that has next to no connections waits to the deadline of an attempt. Once it sees failures at
// several servers it sends no retry. Setups that are given up would else stay in the queue of a shared store.
func TestUncertainNodeWaitsToTheDeadline(t *testing.T) {
	for _, c := range []struct {
		name        string
		nodes       int
		uncertainty float64
		limit       float64 // concurrency limit
		outcome     Outcome // of the first attempt
		timeout     float64 // of the first attempt, of 3 s
		retry       float64 // timeout of the second, 0.5 s later; 0 for none
	}{
		{"a node of many connections", 300, 0.2, math.Inf(1), TimedOut, 1.5, 1.25},
		{"many connections and common failures", 300, 0.2, 3, Failed, 1.5, 1.25},
		{"one of few that has no connection yet", 3, 1, math.Inf(1), TimedOut, 1.5, 1.25},
		{"one of many that has next to none", 300, 0.9, math.Inf(1), TimedOut, 3, 2.5},
		{"one of many whose first attempt reached nothing", 300, 0.9, math.Inf(1), ConnectFailed, 3, 2.5},
		{"one of many and common failures", 300, 0.9, 3, Failed, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(9, func(s *Settings) {
				s.Nodes = c.nodes
				s.Tick = 0
			})
			b.overload.uncertainty = c.uncertainty
			b.concurrency = concurrencyLimit{limit: c.limit, loweredAt: b.now}
			first, _ := b.arrive(1, Arrival{ClientKey: 1})
			if first.Action != Connect || math.Abs(first.Seconds-c.timeout) > 1e-6 {
				t.Fatalf("%+v, want a Connect of %g s", first, c.timeout)
			}
			b.now += 0.5
			b.AttemptEnded(b.now, 1, 0, c.outcome, false)
			second := decisionFor(b.decisions(), 1)
			if c.retry == 0 && second.Action != Reject {
				t.Errorf("then %+v, want a Reject at once", second)
			}
			if c.retry > 0 && (second.Action != Connect || math.Abs(second.Seconds-c.retry) > 1e-6) {
				t.Errorf("then %+v, want a Connect of %g s", second, c.retry)
			}
		})
	}
}

// decisionFor returns the first decision for a flow, or one with the action Log.
func decisionFor(decisions []Decision, id int) Decision {
	for _, decision := range decisions {
		if decision.Flow == id {
			return decision
		}
	}
	return Decision{Action: Log}
}
