package node

import (
	"fmt"
	"math"

	"gorseledge/placement"
)

// What discovery has counts as told 6 s after it had it and could be reached, whatever became of a call. Within that
// time silence has to be found, and the call that follows has to be made and answered, in its turn. Guards against
// sends to hosts that left meanwhile (rule 3): with 5 s for silence and 6 s for an answer to begin, that call came too
// late, and with waits that doubled without an answer a call that got lost held up the next for 64 s.
const (
	quiet      = 2.5 // s; a watch says something every two seconds
	answerWait = 4.0 // s, for an answer to begin: discovery works through calls in turn

	// Where lists are pushed nobody else waits for this machine's agent, and no grace covers a node that does not
	// ask it. Guards against a discovery that is back while its nodes still wait for their turn.
	agentWithin = 0.5
)

type watchState uint8

const (
	unwatched watchState = iota // none is asked for; the module says when
	opening                     // asked for, and nothing has come yet
	speaking
)

// watch is the one place that knows how things stand with the watch of the list, and how old the list is.
type watch struct {
	state watchState
	word  float64 // when it was asked for last, or last said anything
	fresh float64 // when a watch last said anything, or this process began
	line  float64 // since when a line has been coming that has not ended; 0 for none
}

// due is when the silence of a watch is too long, infinite where there is none.
func (w *watch) due() float64 {
	switch w.state {
	case opening:
		return w.word + answerWait
	case speaking:
		if w.line > 0 { // guards against one that never ends, a byte at a time
			return min(w.word+quiet, w.line+answerWait)
		}
		return w.word + quiet
	}
	return math.Inf(1)
}

// spoke takes a sign of life of the watch, within a line or at its end.
func (w *watch) spoke(now float64, within bool) {
	switch {
	case !within:
		w.fresh, w.line = now, 0
	case w.line == 0:
		w.line = now
	}
	if w.state != unwatched {
		w.state, w.word = speaking, now
	}
}

// follow carries out the module's wish to follow the list, also anew where discovery has moved: at once, as
// the time to wait after failures was for the old address. Guards against a wish from before the move
// breaking off the watch that is there already.
func (n *Node) follow() {
	if n.watch.state == unwatched {
		n.watch.state, n.watch.word, n.watch.line = opening, n.now, 0
		n.ask(Watch{Index: n.index})
	}
}

// relocated begins anew at discovery's new address.
func (n *Node) relocated() {
	n.watch.state = unwatched
	n.follow()
}

// unlisted takes the end of a watch, or of a call for one.
func (n *Node) unlisted(kind placement.ListKind, why string) {
	n.misses++
	n.watch.state = unwatched
	n.module.UpdateEndpoints(n.now, kind, nil)
	n.ask(WriteLog{fmt.Sprintf("discovery: %s, the list is %.1f s old", why, n.now-n.watch.fresh)})
}

// hush ends a watch that has been silent for too long. A call that waits is not given up: another is made beside it.
// Guards against a discovery that needs longer than a call waits, where who starts again at the end of its queue is
// never answered, as well as against a call that got lost. The machine's own agent has no others to serve first.
func (n *Node) hush() {
	if n.now < n.watch.due() {
		return
	}
	if n.watch.state == opening && !n.door.ListPushed {
		n.misses++
		n.watch.word = n.now
		n.ask(Watch{Index: n.index, Beside: true})
		n.ask(WriteLog{fmt.Sprintf("discovery: no answer for %.0f s, asked once more beside, the list is %.1f s old",
			answerWait, n.now-n.watch.fresh)})
		return
	}
	n.ask(StopWatch{})
	n.unlisted(placement.ListTimedOut, "the watch is silent")
}
