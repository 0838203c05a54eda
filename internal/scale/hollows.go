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

const exitTimeout = 5 * time.Second // time for a process to exit after it was asked to; then it is killed

// hollowHosts are the hollow processes of a run.
type hollowHosts struct {
	hosts []*hollowHost
}

// hollowHost is the run's client of one hollow process.
type hollowHost struct {
	cmd      *exec.Cmd
	mu       sync.Mutex // one request at a time
	in       io.WriteCloser
	requests *json.Encoder
	replies  *json.Decoder
}

// startHollows starts hollow processes and sends each the region of every node address. The command must run ServeHollow on
// its standard input and output.
func startHollows(command []string, processes int, regions map[string]int) (*hollowHosts, error) {
	h := &hollowHosts{}
	for range processes {
		host, err := startHollow(command)
		if err != nil {
			h.close()
			return nil, err
		}
		h.hosts = append(h.hosts, host)
	}
	if _, err := h.requestAll(request{Kind: requestSetRegions, Regions: regions}); err != nil {
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
	h.requests, h.replies = json.NewEncoder(h.in), json.NewDecoder(bufio.NewReader(out))
	return h, nil
}

// call sends the process a request, waits for the reply, and returns an error if the reply holds one.
func (h *hollowHost) call(r request) (a reply, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.requests.Encode(r); err != nil {
		return a, fmt.Errorf("sending a request to a hollow process: %w", err)
	}
	if err := h.replies.Decode(&a); err != nil {
		return a, fmt.Errorf("reading the reply of a hollow process: %w", err)
	}
	if a.Error != "" {
		return a, fmt.Errorf("hollow process: %s", a.Error)
	}
	return a, nil
}

// close ends the process by closing its input, and kills it if it has not exited after exitTimeout.
func (h *hollowHost) close() {
	h.in.Close()
	timer := time.AfterFunc(exitTimeout, func() { h.cmd.Process.Kill() })
	defer timer.Stop()
	h.cmd.Wait()
}

func (h *hollowHosts) close() {
	var all sync.WaitGroup
	for _, host := range h.hosts {
		all.Go(host.close)
	}
	all.Wait()
}

// kill kills all processes, so that pending calls return with an error.
func (h *hollowHosts) kill() {
	for _, host := range h.hosts {
		host.cmd.Process.Kill()
	}
}

func (h *hollowHosts) pids() (out []int) {
	for _, host := range h.hosts {
		out = append(out, host.cmd.Process.Pid)
	}
	return out
}

// requestAll sends the same request to every process and returns the replies by process.
func (h *hollowHosts) requestAll(r request) ([]reply, error) {
	return h.requestEach(func(int) request { return r })
}

// requestEach sends each process the request that requestFor returns for its index, to all processes at the same time, and
// returns the replies by process or the first error in that order.
func (h *hollowHosts) requestEach(requestFor func(process int) request) ([]reply, error) {
	replies, errs := make([]reply, len(h.hosts)), make([]error, len(h.hosts))
	var all sync.WaitGroup
	for i, host := range h.hosts {
		all.Go(func() { replies[i], errs[i] = host.call(requestFor(i)) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return replies, nil
}

// start starts the hollow nodes among plans and returns their records.
func (h *hollowHosts) start(plans []NodePlan, node func(NodePlan) hollowNode) (out []memberRecord, err error) {
	replies, err := h.requestEach(func(process int) request {
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

// end stops the hollow nodes among plans: abruptly if kind is requestKill, gracefully if it is requestLeave.
func (h *hollowHosts) end(plans []NodePlan, kind requestKind) error {
	_, err := h.requestEach(func(process int) request {
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

// hollowReport is the sum of the reports of all hollow processes.
type hollowReport struct {
	traffic        []view.Traffic
	liveCounts     map[int]countRange
	nodes          int
	pendingUpdates int
	digests        map[uint64]int          // number of nodes with each digest
	suspicions     int                     // suspicions of any member since the processes started
	inForce        *hdrhistogram.Histogram // milliseconds, at most one value per node
	departed       *hdrhistogram.Histogram // milliseconds, at most one value per pair of observer and member
	returned       *hdrhistogram.Histogram // milliseconds, at most one value per pair of observer and member
}

// addWatch adds the times and the number of suspicions of a watch.
func (sum *hollowReport) addWatch(s watchReport) {
	sum.departed.Merge(hdrhistogram.Import(s.Departed))
	sum.returned.Merge(hdrhistogram.Import(s.Returned))
	sum.suspicions += s.Suspicions
}

// report returns the sum of the reports of all processes, without digests.
func (h *hollowHosts) report() (sum hollowReport, err error) {
	return h.requestReports(request{Kind: requestReport})
}

// requestReports sends a report request to all processes and returns the sum of their reports.
func (h *hollowHosts) requestReports(r request) (sum hollowReport, err error) {
	replies, err := h.requestAll(r)
	if err != nil {
		return sum, err
	}
	sum = hollowReport{liveCounts: map[int]countRange{}, digests: map[uint64]int{}, inForce: newDelayHistogram(),
		departed: newDelayHistogram(), returned: newDelayHistogram()}
	for _, a := range replies {
		sum.traffic = addTraffic(sum.traffic, a.Report.Traffic)
		for region, s := range a.Report.LiveCounts {
			sum.liveCounts[region] = sum.liveCounts[region].merge(s)
		}
		sum.nodes, sum.pendingUpdates = sum.nodes+a.Report.Nodes, sum.pendingUpdates+a.Report.PendingUpdates
		for digest, nodes := range a.Report.Digests {
			sum.digests[digest] += nodes
		}
		sum.addWatch(a.Report.Detections)
		sum.inForce.Merge(hdrhistogram.Import(a.Report.InForceDelays))
	}
	sum.traffic = slices.Clip(sum.traffic)
	return sum, nil
}

// killOnCancel kills the hollow processes when the context ends, so that no call outlives the context. The returned
// function revokes that.
func (h *hollowHosts) killOnCancel(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, h.kill)
}
