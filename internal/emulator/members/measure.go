package members

import (
	"math"
	"runtime"
	"slices"
	"syscall"

	"gorseledge/internal/membership"
)

// Measurement is what a seed showed. Times are periods after the death.
type Measurement struct {
	Seed                          uint64
	Suspected, First, Last, Known float64 // first suspicion, first and last that held it for dead; the part that did
	FalseSuspicions, FalseDeaths  float64 // an hour and fleet, of members that live
	Bytes                         float64 // a member and second, at rest
}

// Stalls is how a part of the nodes stalls while a fleet is measured: each for a time, again and again.
type Stalls struct {
	Part, For, Every float64 // of the nodes; seconds
}

// SettlePeriods is how many periods a fleet that started together is left alone before it is measured, where nothing else
// is said. Fleets of some hundred members still tell of the start then.
func SettlePeriods(nodes int) float64 { return 30 * math.Log10(10+float64(nodes)) }

// MeasureDetection measures one fleet, so many periods after its start: at rest for its load, then with stalls for what is falsely
// held, then one death.
func MeasureDetection(o Options, s Stalls, settle, seconds float64) Measurement {
	w := New(o)
	w.Run(w.Now + settle*w.Period)
	sum, from := 0, w.Now
	for i := range w.Bytes {
		sum -= w.Bytes[i]
	}
	w.Run(w.Now + 30*w.Period)
	for i := range w.Bytes {
		sum += w.Bytes[i]
	}
	m := Measurement{Seed: o.Seed, Bytes: float64(sum) / float64(o.Nodes) / (w.Now - from)}
	before := len(w.Events)
	if s.Part > 0 {
		n := int(s.Part * float64(o.Nodes))
		for i := range n {
			for at := w.Now + s.Every*w.random.Float64(); at+s.For < w.Now+seconds; at += s.Every {
				w.At(at, func() { w.Pause(i) })
				w.At(at+s.For, func() { w.Resume(i) })
			}
		}
		w.Run(w.Now + seconds)
		for _, e := range w.Events[before:] {
			switch e.State {
			case membership.Suspect:
				m.FalseSuspicions += 3600 / seconds
			case membership.Dead:
				m.FalseDeaths += 3600 / seconds
			}
		}
		w.Run(w.Now + 60*w.Period)
	}
	before, from = len(w.Events), w.Now
	victim := o.Nodes - 1
	w.Kill(victim)
	w.Run(w.Now + 80*w.Period)
	told := map[int]float64{}
	m.Suspected, m.First = math.Inf(1), math.Inf(1)
	for _, e := range w.Events[before:] {
		if e.Name != w.nodes[victim].name {
			continue
		}
		at := (e.At - from) / w.Period
		switch e.State {
		case membership.Suspect:
			m.Suspected = min(m.Suspected, at)
		case membership.Dead:
			if _, known := told[e.Node]; !known {
				told[e.Node] = at
			}
			m.First, m.Last = min(m.First, at), max(m.Last, at)
		}
	}
	m.Known = float64(len(told)) / float64(o.Nodes-1)
	return m
}

// IdleCost is what a member costs while nothing befalls its fleet.
type IdleCost struct {
	CPU      float64 // seconds a member and second: processor time of this process, with its garbage collection
	Memory   float64 // bytes a member, of all that it keeps
	Messages float64 // sent a member and second
	Bytes    float64
}

// MeasureIdle measures a fleet at rest, once its members know each other, over so many periods.
func MeasureIdle(o Options, periods float64) (r IdleCost) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := New(o)
	w.Run(w.Now + 400*w.Period) // a thousand that start together know each other by then
	w.Events = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	sum := func(of []int) (all float64) {
		for _, x := range of {
			all += float64(x)
		}
		return all
	}
	bytes, messages, began := sum(w.Bytes), sum(w.Messages), processorTime()
	w.Run(w.Now + periods*w.Period)
	per := float64(o.Nodes) * periods * w.Period
	r = IdleCost{CPU: (processorTime() - began) / per, Memory: float64(after.HeapAlloc-before.HeapAlloc) / float64(o.Nodes),
		Messages: (sum(w.Messages) - messages) / per, Bytes: (sum(w.Bytes) - bytes) / per}
	runtime.KeepAlive(w)
	return r
}

// processorTime is what this process has used so far, in seconds, user and system.
func processorTime() float64 {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		panic(err) // it has no other reason than a wrong argument
	}
	return seconds(used.Utime) + seconds(used.Stime)
}

func seconds(of syscall.Timeval) float64 { return float64(of.Sec) + float64(of.Usec)/1e6 }

// Quantile gives the value under which a part of some lies.
func Quantile(of []float64, part float64) float64 {
	if len(of) == 0 {
		return math.NaN()
	}
	of = slices.Sorted(slices.Values(of))
	return of[min(int(part*float64(len(of))), len(of)-1)]
}
