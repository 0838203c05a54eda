// Package endpoint reads the lists of hosts that discovery tells.
package endpoint

import (
	"encoding/json"
	"errors"
)

// Host is one entry of a list.
type Host struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Group       int64   `json:"group"`
	Status      string  `json:"status"`
	Weight      float64 `json:"weight"`
	StartedAtMS float64 `json:"since_ms"` // Unix time of its last start, 0 for long ago
}

// List is a whole list or what changed.
type List struct {
	Index    int64  `json:"index"`
	Complete bool   `json:"snapshot"`
	Hosts    []Host `json:"endpoints"`
}

// Parse reads one list. Entries without a name are left out: nothing can be said of them.
func Parse(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, err
	}
	if l.Index < 0 {
		return List{}, errors.New("negative index")
	}
	named := l.Hosts[:0]
	for _, h := range l.Hosts {
		if h.Name != "" {
			named = append(named, h)
		}
	}
	l.Hosts = named
	return l, nil
}
