// Package endpoint reads the endpoint lists of discovery. It only decodes: what a status means, and what follows from a
// list, is decided elsewhere.
package endpoint

import (
	"encoding/json"
	"errors"
)

// ErrNegativeIndex says that a list has an index below 0.
var ErrNegativeIndex = errors.New("negative index")

// Host is one entry of a list. Keys that are missing leave the zero value.
type Host struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"` // with a port
	Zone        string  `json:"zone"`
	Group       int64   `json:"group"` // cell
	Status      string  `json:"status"`
	Weight      float64 `json:"weight"`   // size in relation to other hosts
	StartedAtMS float64 `json:"since_ms"` // Unix time of its last start in ms, 0 for long ago
}

// List is a complete list, or what has changed since an earlier one.
type List struct {
	Index    int64  `json:"index"` // number of the change, 0 or more
	Complete bool   `json:"snapshot"`
	Hosts    []Host `json:"endpoints"`
}

// Parse reads one list. Entries without a name are left out, since nothing can be said about them. The error is
// ErrNegativeIndex or that of the JSON decoder.
func Parse(text []byte) (List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return List{}, err // callers say whose list it is
	}
	if list.Index < 0 {
		return List{}, ErrNegativeIndex
	}
	named := list.Hosts[:0]
	for _, host := range list.Hosts {
		if host.Name != "" {
			named = append(named, host)
		}
	}
	list.Hosts = named
	return list, nil
}
