package rig

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Event is one thing that the rig did or saw. At counts in seconds from the rig's start.
type Event struct {
	At     float64 `json:"at"`
	What   string  `json:"what"` // start, exit, fault, over, member, flow, agree, budget
	Node   int     `json:"node"`
	Fault  *Fault  `json:"fault,omitempty"`
	Member string  `json:"member,omitempty"` // of a change that the node saw
	State  string  `json:"state,omitempty"`
	Answer string  `json:"answer,omitempty"` // of a flow
	Count  int     `json:"count,omitempty"`  // of a flow's answers
	Ended  string  `json:"ended,omitempty"`  // of a flow that was established
	Began  float64 `json:"began,omitempty"`  // of a flow
	Part   float64 `json:"part,omitempty"`   // of a cold host's budget, that all who run take together
	Note   string  `json:"note,omitempty"`
}

// history keeps what was seen, in order, and writes it as JSON Lines.
type history struct {
	mu     sync.Mutex
	began  time.Time
	events []Event
	file   *os.File
	out    *bufio.Writer
	path   string
	seen   func(Event) // told of each, with At as Unix seconds; nil for nobody
}

// newHistory writes to a file that has its name once it is whole; an empty path keeps nothing on disk.
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

func (h *history) now() float64 { return time.Since(h.began).Seconds() }

func (h *history) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.At == 0 {
		e.At = h.now()
	}
	h.events = append(h.events, e)
	if h.seen != nil {
		told := e
		told.At += float64(h.began.UnixNano()) / 1e9
		h.seen(told)
	}
	if h.out != nil {
		json.NewEncoder(h.out).Encode(e)
	}
}

func (h *history) all() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Event(nil), h.events...)
}

// flows is how many flows have ended.
func (h *history) flows() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		if e.What == "flow" {
			n++
		}
	}
	return n
}

// close gives the file its name, or takes it away where the run was broken off.
func (h *history) close(whole bool) error {
	if h.file == nil {
		return nil
	}
	err := h.out.Flush()
	if cerr := h.file.Close(); err == nil {
		err = cerr
	}
	if !whole || err != nil {
		os.Remove(h.path + ".part")
		return err
	}
	return os.Rename(h.path+".part", h.path)
}
