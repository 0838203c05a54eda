package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/fleet/view"
)

const endWithin = 5 * time.Second // for a hollow process whose input has ended

// hollows are the hollow processes of a run.
type hollows struct {
	of []*hollowHost
}

// hollowHost is one of them, as the run sees it.
type hollowHost struct {
	cmd     *exec.Cmd
	mu      sync.Mutex // one request at a time
	in      io.WriteCloser
	lines   *json.Encoder
	answers *json.Decoder
}

// startHollows starts a process for each number in the plan; command is what serves ServeHollow on its standard input.
func startHollows(command []string, processes int, regions map[string]int) (*hollows, error) {
	h := &hollows{}
	for range processes {
		host, err := startHollow(command)
		if err != nil {
			h.close()
			return nil, err
		}
		h.of = append(h.of, host)
	}
	if _, err := h.all(request{Kind: requestPlan, Regions: regions}); err != nil {
		h.close()
		return nil, err
	}
	return h, nil
}

func startHollow(command []string) (*hollowHost, error) {
	h := &hollowHost{cmd: exec.Command(command[0], command[1:]...)}
	h.cmd.Stderr = os.Stderr
	var err error
	if h.in, err = h.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	h.lines, h.answers = json.NewEncoder(h.in), json.NewDecoder(bufio.NewReader(out))
	return h, nil
}

// call puts a request to the process and waits for the reply.
func (h *hollowHost) call(r request) (a reply, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.lines.Encode(r); err != nil {
		return a, fmt.Errorf("a hollow process does not listen: %w", err)
	}
	if err := h.answers.Decode(&a); err != nil {
		return a, fmt.Errorf("a hollow process does not answer: %w", err)
	}
	if a.Error != "" {
		return a, fmt.Errorf("a hollow process: %s", a.Error)
	}
	return a, nil
}

// close ends the process: by the end of its input, or else at once.
func (h *hollowHost) close() {
	h.in.Close()
	timer := time.AfterFunc(endWithin, func() { h.cmd.Process.Kill() })
	defer timer.Stop()
	h.cmd.Wait()
}

func (h *hollows) close() {
	var all sync.WaitGroup
	for _, host := range h.of {
		all.Go(host.close)
	}
	all.Wait()
}

// kill ends all processes at once, so that a call under way returns.
func (h *hollows) kill() {
	for _, host := range h.of {
		host.cmd.Process.Kill()
	}
}

func (h *hollows) pids() (out []int) {
	for _, host := range h.of {
		out = append(out, host.cmd.Process.Pid)
	}
	return out
}

// all puts the same request to every process.
func (h *hollows) all(r request) ([]reply, error) {
	return h.each(func(int) request { return r })
}

// each puts a request of its own to every process, at the same time.
func (h *hollows) each(of func(process int) request) ([]reply, error) {
	replies, errs := make([]reply, len(h.of)), make([]error, len(h.of))
	var all sync.WaitGroup
	for i, host := range h.of {
		all.Go(func() { replies[i], errs[i] = host.call(of(i)) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return replies, nil
}

// start starts nodes and gives what they tell of themselves.
func (h *hollows) start(plans []NodePlan, node func(NodePlan) hollowNode) (out []memberFacts, err error) {
	replies, err := h.each(func(process int) request {
		r := request{Kind: requestStart}
		for _, n := range plans {
			if !n.Real && n.Process == process {
				r.Nodes = append(r.Nodes, node(n))
			}
		}
		return r
	})
	for _, a := range replies {
		out = append(out, a.Members...)
	}
	return out, err
}

// end has nodes end, with a word to the others or without.
func (h *hollows) end(plans []NodePlan, kind requestKind) error {
	_, err := h.each(func(process int) request {
		r := request{Kind: kind}
		for _, n := range plans {
			if !n.Real && n.Process == process {
				r.Names = append(r.Names, n.Name)
			}
		}
		return r
	})
	return err
}

// known is what all hollow nodes report together.
type known struct {
	traffic    []view.Traffic
	living     map[int]spread
	nodes      int
	news       int
	digests    map[uint64]int // how many nodes have each
	suspicions int
	inForce    *hdrhistogram.Histogram
	gone       *hdrhistogram.Histogram
	back       *hdrhistogram.Histogram
}

// see adds what a watch noted.
func (k *known) see(s seen) {
	k.gone.Merge(hdrhistogram.Import(s.Gone))
	k.back.Merge(hdrhistogram.Import(s.Back))
	k.suspicions += s.Suspicions
}

// report asks all processes.
func (h *hollows) report() (k known, err error) { return h.ask(request{Kind: requestReport}) }

// ask asks all processes for a report.
func (h *hollows) ask(r request) (k known, err error) {
	replies, err := h.all(r)
	if err != nil {
		return k, err
	}
	k = known{living: map[int]spread{}, digests: map[uint64]int{}, inForce: newTimes(), gone: newTimes(), back: newTimes()}
	for _, a := range replies {
		k.traffic = addTraffic(k.traffic, a.Report.Traffic)
		for region, s := range a.Report.Living {
			k.living[region] = k.living[region].merge(s)
		}
		k.nodes, k.news = k.nodes+a.Report.Nodes, k.news+a.Report.News
		for digest, nodes := range a.Report.Digests {
			k.digests[digest] += nodes
		}
		k.see(a.Report.Seen)
		k.inForce.Merge(hdrhistogram.Import(a.Report.InForce))
	}
	k.traffic = slices.Clip(k.traffic)
	return k, nil
}

// wait ends hollow processes when the context does, so that no call outlasts it.
func (h *hollows) wait(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, h.kill)
}
