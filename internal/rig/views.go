package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"gorseledge/internal/fleet/view"
)

const look = 100 * time.Millisecond

// view asks a node for what it knows of its fleet.
func (r *Rig) view(ctx context.Context, n *node) (v view.View, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.admin+"/-/members", nil)
	if err != nil {
		return v, err
	}
	res, err := r.client.Do(req)
	if err != nil {
		return v, err
	}
	defer res.Body.Close()
	err = json.NewDecoder(io.LimitReader(res.Body, 1<<20)).Decode(&v)
	return v, err
}

// answer is what a node that runs said when it was asked for its view.
type answer struct {
	node *node
	view view.View
	err  error
}

// views asks all nodes that run at once.
func (r *Rig) views(ctx context.Context) (out []answer) {
	for _, n := range r.nodes {
		if n.up() {
			out = append(out, answer{node: n})
		}
	}
	var all sync.WaitGroup
	for i := range out {
		all.Go(func() { out[i].view, out[i].err = r.view(ctx, out[i].node) })
	}
	all.Wait()
	return out
}

// disagreement tells who does not hold exactly those that run for living, and where; nothing where all agree.
func (r *Rig) disagreement(ctx context.Context) string {
	answers := r.views(ctx)
	up := map[string]bool{}
	for _, a := range answers {
		up[a.node.name()] = true
	}
	for _, a := range answers {
		if a.err != nil {
			return fmt.Sprintf("%s does not answer: %v", a.node.name(), a.err)
		}
		seen := map[string]bool{}
		for _, m := range a.view.Members {
			if alive := m.State == "alive"; alive != up[m.Name] {
				return fmt.Sprintf("%s holds %s for %s", a.node.name(), m.Name, m.State)
			}
			seen[m.Name] = true
		}
		for name := range up {
			if !seen[name] {
				return fmt.Sprintf("%s does not know %s", a.node.name(), name)
			}
		}
	}
	return ""
}

// agree waits until all agree and gives how long that took; -1 and what stood against it where it was too
// long.
func (r *Rig) agree(ctx context.Context, within float64) (took float64, against string, err error) {
	for from := r.history.now(); ; {
		against = r.disagreement(ctx)
		took = r.history.now() - from
		if against == "" && ctx.Err() == nil {
			return took, "", nil
		}
		if took > within {
			return -1, against, ctx.Err()
		}
		select {
		case <-time.After(look):
		case <-ctx.Done():
			return -1, against, ctx.Err()
		}
	}
}
