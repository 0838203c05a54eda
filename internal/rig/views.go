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

const agreementPollInterval = 100 * time.Millisecond // interval between checks of whether all nodes agree

// view reads a node's view of its fleet.
func (r *Rig) view(ctx context.Context, n *node) (v view.View, err error) {
	err = r.fetch(ctx, n, "/-/members", &v)
	return v, err
}

// fetch sends a GET request to a node's admin address and decodes the JSON response into v.
func (r *Rig) fetch(ctx context.Context, n *node, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.adminAddress+path, nil)
	if err != nil {
		return err
	}
	res, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s%s: status %s", n.adminAddress, path, res.Status)
	}
	return json.NewDecoder(io.LimitReader(res.Body, 1<<20)).Decode(v)
}

// viewResult is the result of reading a running node's view.
type viewResult struct {
	node *node
	view view.View
	err  error
}

// views reads the views of all running nodes in parallel.
func (r *Rig) views(ctx context.Context) (out []viewResult) {
	for _, n := range r.nodes {
		if n.up() {
			out = append(out, viewResult{node: n})
		}
	}
	var all sync.WaitGroup
	for i := range out {
		all.Go(func() { out[i].view, out[i].err = r.view(ctx, out[i].node) })
	}
	all.Wait()
	return out
}

// disagreement describes the first node that does not list exactly the running nodes as alive. It returns an empty string if
// all nodes agree.
func (r *Rig) disagreement(ctx context.Context) string {
	answers := r.views(ctx)
	up := map[string]bool{}
	for _, a := range answers {
		up[a.node.name()] = true
	}
	for _, a := range answers {
		if a.err != nil {
			return fmt.Sprintf("reading the members of %s: %v", a.node.name(), a.err)
		}
		seen := map[string]bool{}
		for _, m := range a.view.Members {
			if alive := m.State == memberAlive; alive != up[m.Name] {
				return fmt.Sprintf("%s lists %s as %s", a.node.name(), m.Name, m.State)
			}
			seen[m.Name] = true
		}
		for name := range up {
			if !seen[name] {
				return fmt.Sprintf("%s does not list %s", a.node.name(), name)
			}
		}
	}
	return ""
}

// awaitAgreement waits until all running nodes agree and returns how long this took, in seconds. If they do not agree within
// the given number of seconds, it returns -1 and the last disagreement.
func (r *Rig) awaitAgreement(ctx context.Context, within float64) (took float64, disagreement string, err error) {
	for from := r.history.now(); ; {
		disagreement = r.disagreement(ctx)
		took = r.history.now() - from
		if disagreement == "" && ctx.Err() == nil {
			return took, "", nil
		}
		if took > within {
			return -1, disagreement, ctx.Err()
		}
		select {
		case <-time.After(agreementPollInterval):
		case <-ctx.Done():
			return -1, disagreement, ctx.Err()
		}
	}
}
