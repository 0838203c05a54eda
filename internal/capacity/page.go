package capacity

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"gorseledge/internal/figures"
)

const (
	pageFile         = "CAPACITY.md"
	planFile         = "capacity/plan.toml"
	figuresDirectory = "capacity" // directory of the figures
	chartsDirectory  = "charts"
)

// evaluation is a plan with what its rows come to.
type evaluation struct {
	plan     *Plan
	measured map[string]*figures.Table
	results  []result
}

// Build gives the page with its tables, and the charts, by their path below the directory of the docs.
func Build(docs string) (files map[string][]byte, err error) {
	e := &evaluation{}
	if e.plan, err = ReadPlan(filepath.Join(docs, planFile)); err != nil {
		return nil, err
	}
	if e.measured, err = figures.ReadDir(filepath.Join(docs, figuresDirectory)); err != nil {
		return nil, err
	}
	quantities := e.plan.quantities()
	for _, row := range e.plan.Rows {
		r, err := row.evaluate(quantities, e.measured)
		if err != nil {
			return nil, err
		}
		e.results = append(e.results, r)
	}
	page, err := os.ReadFile(filepath.Join(docs, pageFile))
	if err != nil {
		return nil, err
	}
	if page, err = fillTables(page, e.tables()); err != nil {
		return nil, fmt.Errorf("%s: %w", pageFile, err)
	}
	files = map[string][]byte{pageFile: page}
	for _, d := range e.costCharts() {
		if files[filepath.Join(chartsDirectory, d.fileName())], err = d.render(); err != nil {
			return nil, err
		}
	}
	return files, nil
}

var tableMarker = regexp.MustCompile(`(?s)<!-- table: (\w+) -->\n(.*?)<!-- end of table -->`)

// fillTables writes tables between their marks. Each has to have its mark once, and no mark another table.
func fillTables(page []byte, tables map[string]string) ([]byte, error) {
	seen := map[string]bool{}
	var wrong error
	page = tableMarker.ReplaceAllFunc(page, func(old []byte) []byte {
		name := string(tableMarker.FindSubmatch(old)[1])
		text, known := tables[name]
		if !known || seen[name] {
			wrong = fmt.Errorf("the mark of table %q stands for none, or twice", name)
		}
		seen[name] = true
		return fmt.Appendf(nil, "<!-- table: %s -->\n%s<!-- end of table -->", name, text)
	})
	for _, name := range slices.Sorted(maps.Keys(tables)) {
		if !seen[name] && wrong == nil {
			wrong = fmt.Errorf("no mark for table %q", name)
		}
	}
	return page, wrong
}

// Differences tells which files are not as they should be: the page by its text, a chart by the figures that it was drawn
// from. A chart that nothing draws any more is one as well.
func Differences(docs string, files map[string][]byte) (out []string, err error) {
	for _, name := range slices.Sorted(maps.Keys(files)) {
		there, err := os.ReadFile(filepath.Join(docs, name))
		if err != nil && !os.IsNotExist(err) {
			return nil, err
		}
		if !bytes.Equal(comparablePart(name, there), comparablePart(name, files[name])) {
			out = append(out, name)
		}
	}
	gone, err := staleCharts(docs, files)
	return append(out, gone...), err
}

// staleCharts gives the charts that nothing draws any more.
func staleCharts(docs string, files map[string][]byte) (out []string, err error) {
	paths, err := filepath.Glob(filepath.Join(docs, chartsDirectory, chartPrefix+"*.svg"))
	for _, path := range paths {
		name := filepath.Join(chartsDirectory, filepath.Base(path))
		if files[name] == nil {
			out = append(out, name)
		}
	}
	return out, err
}

// comparablePart is the part of a file that has to be the same: all of the page, a chart's last line.
func comparablePart(name string, text []byte) []byte {
	if !strings.HasSuffix(name, ".svg") {
		return text
	}
	text = bytes.TrimRight(text, "\n")
	return text[bytes.LastIndexByte(text, '\n')+1:]
}
