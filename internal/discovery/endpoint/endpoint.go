// Package endpoint decodes the endpoint lists of discovery. It neither interprets a host's status nor applies a list.
package endpoint

import (
	"encoding/json"
	"errors"
)

// ErrNegativeIndex is the error of a list with an index below 0.
var ErrNegativeIndex = errors.New("negative index")

// Host is one entry of a list. A field whose key is missing has its zero value.
type Host struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"` // with a port
	Zone        string  `json:"zone"`
	Group       int64   `json:"group"` // the cell to which the host belongs
	Status      string  `json:"status"`
	Weight      float64 `json:"weight"`   // capacity relative to other hosts
	StartedAtMS float64 `json:"since_ms"` // Unix time of the host's last start in ms; 0 for long ago
}

// List is a complete list, or the hosts that have changed since an earlier list.
type List struct {
	Index    int64  `json:"index"` // number of the change, 0 or more
	Complete bool   `json:"snapshot"`
	Hosts    []Host `json:"endpoints"`
}

// Parse decodes one list. It leaves out entries without a name, since nothing could refer to them. The error is
// ErrNegativeIndex or that of the JSON decoder.
func Parse(text []byte) (List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return List{}, err // callers add the origin of the list
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
