package rig

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// The values of Event.Kind.
const (
	eventProcessStart = "start"  // a process of a node was started
	eventProcessExit  = "exit"   // a process of a node ended
	eventFaultStart   = "fault"  // a fault of nodes or links began
	eventFaultEnd     = "over"   // a fault of nodes or links ended
	eventMember       = "member" // a node logged that a member changed its state
	eventFlow         = "flow"   // a client's flow ended
	eventAgreement    = "agree"  // after the last fault, all running nodes listed each other and no other member as alive
	eventBudget       = "budget" // the share of a cold host's budget that all running nodes grant together was computed
)

// The states of a member in events and views.
const (
	memberAlive   = "alive"
	memberSuspect = "suspect"
	memberDead    = "dead"
	memberLeft    = "left"
)

// Event is an action or an observation of the rig. At and StartedAt are in seconds from the start of the rig.
type Event struct {
	At          float64 `json:"at"`
	Kind        string  `json:"what"` // kind of the event: one of the constants above
	Node        int     `json:"node"` // index of the node; 0 for events without a node
	Fault       *Fault  `json:"fault,omitempty"`
	Member      string  `json:"member,omitempty"` // the member whose state changed
	State       string  `json:"state,omitempty"`
	Answer      string  `json:"answer,omitempty"` // outcome of a flow, a standin.Answer
	AnswerCount int     `json:"count,omitempty"`  // number of final answers that a flow received
	Ending      string  `json:"ended,omitempty"`  // how an established flow ended, a standin.Ending
	StartedAt   float64 `json:"began,omitempty"`  // when a flow or a proposal was started
	BudgetShare float64 `json:"part,omitempty"`   // share of a cold host's budget that all running nodes grant together
	Note        string  `json:"note,omitempty"`

	Control *ControlEvent `json:"control,omitempty"` // set for events that concern control servers or the configuration
}

// history keeps the events of a run in the order in which they were added and writes them to a file as JSON Lines. It is
// safe for concurrent use.
type history struct {
	mu      sync.Mutex
	began   time.Time
	events  []Event
	file    *os.File
	out     *bufio.Writer
	path    string
	observe func(Event) // called with each event, At in Unix seconds; may be nil
}

// newHistory returns a history that writes to a temporary file, which close renames to path if the run is complete. If
// path is empty, the history writes no file.
func newHistory(path string) (*history, error) {
	h := &history{began: time.Now(), path: path}
	if path == "" {
		return h, nil
	}
	f, err := os.Create(path + ".part")
	if err != nil {
		return nil, err
	}
	h.file, h.out = f, bufio.NewWriter(f)
	return h, nil
}

// now returns the seconds since the start of the rig.
func (h *history) now() float64 { return time.Since(h.began).Seconds() }

// add records an event. If it has no time, it gets the present time.
func (h *history) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.At == 0 {
		e.At = h.now()
	}
	h.events = append(h.events, e)
	if h.observe != nil {
		observed := e
		observed.At += float64(h.began.UnixNano()) / 1e9
		h.observe(observed)
	}
	if h.out != nil {
		json.NewEncoder(h.out).Encode(e)
	}
}

// all returns a copy of the events.
func (h *history) all() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Event(nil), h.events...)
}

// flows returns the number of flows that have ended.
func (h *history) flows() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		if e.Kind == eventFlow {
			n++
		}
	}
	return n
}

// close renames the temporary file to its path if the run is complete, and removes it otherwise.
func (h *history) close(complete bool) error {
	if h.file == nil {
		return nil
	}
	err := h.out.Flush()
	if cerr := h.file.Close(); err == nil {
		err = cerr
	}
	if !complete || err != nil {
		os.Remove(h.path + ".part")
		return err
	}
	return os.Rename(h.path+".part", h.path)
}
