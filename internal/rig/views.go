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

const agreementPollInterval = 100 * time.Millisecond // between two checks of whether all nodes agree

// view asks a node for its view of its fleet.
func (r *Rig) view(ctx context.Context, n *node) (v view.View, err error) {
	err = r.fetch(ctx, n, "/-/members", &v)
	return v, err
}

// fetch puts a call to a node's second address and decodes the answer into v.
func (r *Rig) fetch(ctx context.Context, n *node, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.admin+path, nil)
	if err != nil {
		return err
	}
	res, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", n.admin, path, res.Status)
	}
	return json.NewDecoder(io.LimitReader(res.Body, 1<<20)).Decode(v)
}

// viewResult is the view that a running node returned, or the error.
type viewResult struct {
	node *node
	view view.View
	err  error
}

// views asks all running nodes for their views, in parallel.
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

// disagreement describes the first node that does not hold exactly the running nodes for alive. It returns an empty
// string where all agree.
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
			if alive := m.State == memberAlive; alive != up[m.Name] {
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

// awaitAgreement waits until all running nodes agree and returns the seconds that this took. Where it takes longer
// than within seconds, it returns -1 and the last disagreement.
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
