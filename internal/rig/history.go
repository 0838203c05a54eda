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
	eventProcessStart = "start"  // a process was started
	eventProcessExit  = "exit"   // a process ended
	eventFaultStart   = "fault"  // a fault began
	eventFaultEnd     = "over"   // a fault ended
	eventMember       = "member" // a node saw a member change its state
	eventFlow         = "flow"   // a client's flow ended
	eventAgreement    = "agree"  // all running nodes agree after the last fault
	eventBudget       = "budget" // the share of a cold host's budget that all nodes grant together
)

// The states of a member in events and views.
const (
	memberAlive   = "alive"
	memberSuspect = "suspect"
	memberDead    = "dead"
	memberLeft    = "left"
)

// Event is something that the rig did or observed. At and Began are seconds from the start of the rig.
type Event struct {
	At          float64 `json:"at"`
	Kind        string  `json:"what"` // kind of the event: one of the constants above
	Node        int     `json:"node"`
	Fault       *Fault  `json:"fault,omitempty"`
	Member      string  `json:"member,omitempty"` // the member whose state changed
	State       string  `json:"state,omitempty"`
	Answer      string  `json:"answer,omitempty"` // of a flow: a standin.Answer
	AnswerCount int     `json:"count,omitempty"`  // final answers of a flow
	Ending      string  `json:"ended,omitempty"`  // how an established flow ended
	StartedAt   float64 `json:"began,omitempty"`  // when a flow began
	BudgetShare float64 `json:"part,omitempty"`   // of a cold host's budget, that all running nodes give out
	Note        string  `json:"note,omitempty"`

	Control *ControlEvent `json:"control,omitempty"` // of control servers and the configuration
}

// history keeps the events of a run in order and writes them as JSON Lines. It is safe for concurrent use.
type history struct {
	mu      sync.Mutex
	began   time.Time
	events  []Event
	file    *os.File
	out     *bufio.Writer
	path    string
	observe func(Event) // called with each event, At in Unix seconds; may be nil
}

// newHistory returns a history that writes to a file, which gets its name when the history is closed as complete. With an
// empty path it writes no file.
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

// add records an event, at the present time where it has none.
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

// close gives the file its name where the run is complete, and removes it otherwise.
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
