package node

import (
	"fmt"
	"math"

	"gorseledge/placement"
)

// What a watch that has fallen silent does not bring counts as told 6 s later. Within that time its silence has
// to be found, and the call that follows has to be made and answered, in its turn. Guards against sends to hosts
// that left meanwhile (rule 3): with 5 s for silence and 6 s for an answer to begin, that call came too late.
const (
	quiet      = 2.5 // s; a watch says something every two seconds
	answerWait = 4.0 // s, for an answer to begin: discovery works through calls in turn
	longest    = 4   // doublings of answerWait at the most

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
	state      watchState
	word       float64 // when it was asked for, or last said anything
	fresh      float64 // when a watch last said anything, or this process began
	unanswered int     // calls in a row that were given up before an answer began
	patience   int     // doublings of answerWait at the most
}

// due is when the silence of a watch is too long, infinite where there is none. Guards against a discovery that
// needs longer than a call waits: no call of any node would ever be answered. The machine's own agent, to which
// lists are pushed, has no others to serve first: one that does not answer is silent.
func (w *watch) due() float64 {
	switch w.state {
	case opening:
		return w.word + answerWait*math.Exp2(float64(min(w.unanswered, w.patience)))
	case speaking:
		return w.word + quiet
	}
	return math.Inf(1)
}

// spoke takes a sign of life of the watch.
func (w *watch) spoke(now float64) {
	w.fresh = now
	if w.state != unwatched {
		w.state, w.word, w.unanswered = speaking, now, 0
	}
}

// follow carries out the module's wish to follow the list, also anew where discovery has moved: at once, as
// the time to wait after failures was for the old address. Guards against a wish from before the move
// breaking off the watch that is there already.
func (n *Node) follow() {
	if n.watch.state == unwatched {
		n.watch.state, n.watch.word = opening, n.now
		n.ask(Watch{n.index})
	}
}

// relocated begins anew at discovery's new address.
func (n *Node) relocated() {
	n.watch.state, n.watch.unanswered = unwatched, 0
	n.follow()
}

// unlisted takes the end of a watch, or of a call for one.
func (n *Node) unlisted(kind placement.ListKind, why string) {
	n.misses++
	n.watch.state = unwatched
	n.module.List(n.now, kind, nil)
	n.ask(Note{fmt.Sprintf("discovery: %s, the list is %.1f s old", why, n.now-n.watch.fresh)})
}

// hush ends a watch that has been silent for too long.
func (n *Node) hush() {
	if n.now < n.watch.due() {
		return
	}
	if n.watch.state == opening {
		n.watch.unanswered++
	}
	n.ask(Unwatch{})
	n.unlisted(placement.ListSilent, "the watch is silent")
}
