package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one host in a list, in discovery's form.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// list is a complete list, or what has changed.
type list struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

const keepAlive = 2 * time.Second // an empty line comes on a watch after this time without a change

// discovery is a stand-in for the discovery service. An index that it does not know is answered with the whole list.
type discovery struct {
	record   *record
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	index   int
	hosts   []entry // the current list; removed hosts have the status DELETED
	changes []list  // changes[i] leads from index i to i+1
	changed chan struct{}
}

func newDiscovery(r *record) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{record: r, listener: listener, changed: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(listener)
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

func (d *discovery) close() { d.server.Close() }

// change changes or adds entries.
func (d *discovery) change(entries ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		found := false
		for i := range d.hosts {
			if d.hosts[i].Name == e.Name {
				d.hosts[i] = e
				found = true
			}
		}
		if !found {
			d.hosts = append(d.hosts, e)
		}
		d.record.now("discovery: index %d: %s %s at %s since %d", d.index+1, e.Name, e.Status, e.Address, e.SinceMS)
	}
	d.changes = append(d.changes, list{Index: d.index + 1, Endpoints: entries})
	d.index++
	close(d.changed)
	d.changed = make(chan struct{})
}

// whole returns the complete list.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholeLocked()
}

func (d *discovery) wholeLocked() list {
	l := list{Index: d.index, Snapshot: true, Endpoints: []entry{}}
	for _, e := range d.hosts {
		if e.Status != "DELETED" {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l
}

func (d *discovery) serve(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/discovery/hosts" {
		http.NotFound(w, request)
		return
	}
	d.record.now("discovery: call %s from %s", request.URL.RawQuery, request.RemoteAddr)
	if request.URL.Query().Get("stream") != "1" {
		json.NewEncoder(w).Encode(d.whole())
		return
	}
	index, err := strconv.Atoi(request.URL.Query().Get("index"))
	d.mu.Lock()
	var first list
	if err != nil || index <= 0 || index > d.index {
		first = d.wholeLocked()
	} else {
		first = d.sinceLocked(index)
	}
	d.mu.Unlock()
	at := first.Index
	if !d.write(w, request, first) {
		return
	}
	for {
		d.mu.Lock()
		changed := d.changed
		next := d.sinceLocked(at)
		d.mu.Unlock()
		if next.Index > at {
			at = next.Index
			if !d.write(w, request, next) {
				return
			}
			continue
		}
		select {
		case <-changed:
		case <-time.After(keepAlive):
			if _, err := fmt.Fprint(w, "\n"); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		case <-request.Context().Done():
			return
		}
	}
}

// sinceLocked returns what changed after an index.
func (d *discovery) sinceLocked(index int) list {
	l := list{Index: d.index, Endpoints: []entry{}}
	for _, c := range d.changes[index:] {
		l.Endpoints = append(l.Endpoints, c.Endpoints...)
	}
	return l
}

func (d *discovery) write(w http.ResponseWriter, request *http.Request, l list) bool {
	text, err := json.Marshal(l)
	if err != nil {
		return false
	}
	d.record.now("discovery: to %s: %s", request.RemoteAddr, text)
	_, err = w.Write(append(text, '\n'))
	w.(http.Flusher).Flush()
	return err == nil
}
