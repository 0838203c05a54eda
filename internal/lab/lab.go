// Package lab runs the emulator over seeds, in parallel, and keeps what came of it as tables.
package lab

import (
	"bytes"
	"context"
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sync/errgroup"

	"gorseledge/internal/emulator"
)

// columns of a table, each with what fills it.
var columns = []struct {
	name string
	of   func(r *emulator.Result) float64
}{
	{"service", func(r *emulator.Result) float64 { return r.ServedShare }},
	{"asked", func(r *emulator.Result) float64 { return float64(r.Requested) }},
	{"established", func(r *emulator.Result) float64 { return float64(r.Established) }},
	{"in target", func(r *emulator.Result) float64 { return float64(r.InTarget) }},
	{"rejected", func(r *emulator.Result) float64 { return float64(r.Rejected) }},
	{"aborted", func(r *emulator.Result) float64 { return float64(r.Aborted) }},
	{"unanswered", func(r *emulator.Result) float64 { return float64(r.Unanswered) }},
	{"moved", func(r *emulator.Result) float64 { return float64(r.Migrated) }},
	{"broken off", func(r *emulator.Result) float64 { return float64(r.Disconnected) }},
	{"setup p50 s", func(r *emulator.Result) float64 { return r.SetupQuantile(0.5) }},
	{"setup p99 s", func(r *emulator.Result) float64 { return r.SetupQuantile(0.99) }},
	{"list calls", func(r *emulator.Result) float64 { return float64(r.ListCalls) }},
	{"probes", func(r *emulator.Result) float64 { return float64(r.HealthChecks) }},
	{"store peak", func(r *emulator.Result) float64 { return r.StorePeak }},
	{"steps", func(r *emulator.Result) float64 { return float64(r.Steps) }},
	{"rules broken", func(r *emulator.Result) float64 { return float64(len(r.Violations)) }},
}

// Sweep plays a script under each seed, so many at once, and gives the results in the order of the seeds. An
// interrupt ends it after the plays that are under way.
func Sweep(ctx context.Context, s emulator.Scenario, seeds []uint64, atOnce int, o emulator.Options) ([]*emulator.Result,
	error) {
	out := make([]*emulator.Result, len(seeds))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(atOnce, 1))
	for i, seed := range seeds {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			out[i] = emulator.Run(s, seed, o)
			return nil
		})
	}
	return out, group.Wait()
}

func figure(x float64) string { return strconv.FormatFloat(math.Round(x*1e4)/1e4, 'f', -1, 64) }

// CSV writes a row a play.
func CSV(results []*emulator.Result) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	head := []string{"scenario", "seed", "trace"}
	for _, c := range columns {
		head = append(head, c.name)
	}
	w.Write(head)
	for _, r := range results {
		row := []string{r.Scenario, strconv.FormatUint(r.Seed, 10), strconv.FormatUint(r.TraceHash, 16)}
		for _, c := range columns {
			row = append(row, figure(c.of(r)))
		}
		w.Write(row)
	}
	w.Flush()
	return b.Bytes()
}

// Spread is the mean of a figure over seeds, and the error of that mean.
type Spread struct{ Mean, Error float64 }

func spread(results []*emulator.Result, of func(r *emulator.Result) float64) Spread {
	n, sum, squares := float64(len(results)), 0.0, 0.0
	for _, r := range results {
		sum += of(r)
	}
	mean := sum / max(n, 1)
	for _, r := range results {
		squares += (of(r) - mean) * (of(r) - mean)
	}
	if n < 2 {
		return Spread{mean, math.Inf(1)} // one seed tells nothing of the spread
	}
	return Spread{mean, math.Sqrt(squares / (n - 1) / n)}
}

// Markdown writes the means, with the error of each.
func Markdown(results []*emulator.Result) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "| figure (simulated) | mean of %d seeds | error of the mean |\n|---|---|---|\n", len(results))
	for _, c := range columns {
		s := spread(results, c.of)
		fmt.Fprintf(&b, "| %s | %s | %s |\n", c.name, figure(s.Mean), figure(s.Error))
	}
	return b.Bytes()
}

// Compare sets two tables of the same seeds beside each other, figure by figure: a difference counts only
// where it is over twice the error of the differences.
func Compare(before, after []byte) (string, error) {
	a, err := read(before)
	if err != nil {
		return "", fmt.Errorf("before: %w", err)
	}
	b, err := read(after)
	if err != nil {
		return "", fmt.Errorf("after: %w", err)
	}
	var out strings.Builder
	out.WriteString("| figure (simulated) | before | after | difference | error | |\n|---|---|---|---|---|---|\n")
	for _, c := range columns {
		var d []float64
		x, y := 0.0, 0.0
		for seed, row := range a {
			if other, ok := b[seed]; ok {
				d = append(d, other[c.name]-row[c.name])
				x, y = x+row[c.name], y+other[c.name]
			}
		}
		n := float64(len(d))
		if n < 2 {
			return "", fmt.Errorf("%d seeds in common, two are the least", len(d))
		}
		mean, squares := (y-x)/n, 0.0
		for _, e := range d {
			squares += (e - mean) * (e - mean)
		}
		err, verdict := math.Sqrt(squares/(n-1)/n), "within the noise"
		if math.Abs(mean) > 2*err && mean != 0 {
			verdict = "differs"
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s |\n", c.name, figure(x/n), figure(y/n), figure(mean), figure(err), verdict)
	}
	return out.String(), nil
}

func read(text []byte) (map[string]map[string]float64, error) {
	rows, err := csv.NewReader(bytes.NewReader(text)).ReadAll()
	if err != nil {
		return nil, err
	}
	out := map[string]map[string]float64{}
	for i, row := range rows {
		if i == 0 {
			continue
		}
		figures := map[string]float64{}
		for k, cell := range row {
			if x, err := strconv.ParseFloat(cell, 64); err == nil && k > 2 {
				figures[rows[0][k]] = x
			}
		}
		out[row[1]] = figures
	}
	return out, nil
}

// Keep writes a file whole or not at all.
func Keep(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".lab-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // of no effect once it has its name
	if _, err := f.Write(text); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}
