package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"gorseledge/internal/figures"
)

// Paths of files and directories, relative to the docs directory.
const (
	pageFile         = "CAPACITY.md"
	planFile         = "capacity/plan.toml"
	figuresDirectory = "capacity"
	chartsDirectory  = "charts"
)

// evaluation is a plan with the results of its rows, in the plan's order.
type evaluation struct {
	plan     *Plan
	measured map[string]*figures.Table // by table name
	results  []result
}

// Build returns the contents of the page and of its charts by their paths relative to the docs directory. It reads the plan,
// the figures and the existing page, and keeps the page's text outside the tables. It does not write files.
func Build(docs string) (map[string][]byte, error) {
	e, err := readEvaluation(docs)
	if err != nil {
		return nil, err
	}
	page, err := os.ReadFile(filepath.Join(docs, pageFile))
	if err != nil {
		return nil, fmt.Errorf("reading the capacity page: %w", err)
	}
	page, err = fillTables(page, e.tables())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", pageFile, err)
	}
	files := map[string][]byte{pageFile: page}
	for _, c := range e.costCharts() {
		image, err := c.render()
		if err != nil {
			return nil, fmt.Errorf("drawing %s: %w", c.fileName(), err)
		}
		files[filepath.Join(chartsDirectory, c.fileName())] = image
	}
	return files, nil
}

// readEvaluation reads the plan and the figures, and evaluates each row.
func readEvaluation(docs string) (*evaluation, error) {
	plan, err := ReadPlan(filepath.Join(docs, planFile))
	if err != nil {
		return nil, err
	}
	measured, err := figures.ReadDir(filepath.Join(docs, figuresDirectory))
	if err != nil {
		return nil, err
	}
	e := &evaluation{plan: plan, measured: measured}
	quantities := plan.quantities()
	for _, row := range plan.Rows {
		r, err := row.evaluate(quantities, measured)
		if err != nil {
			return nil, err
		}
		e.results = append(e.results, r)
	}
	return e, nil
}

// tableMarker matches a table of the page and the marker comments around it. Its first group is the table's name.
var tableMarker = regexp.MustCompile(`(?s)<!-- table: (\w+) -->\n(.*?)<!-- end of table -->`)

// fillTables replaces the text between the markers of each table. It returns an error if a table does not have exactly one
// pair of markers, or if markers name an unknown table.
func fillTables(page []byte, tables map[string]string) ([]byte, error) {
	seen := map[string]bool{}
	var firstErr error
	fail := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	page = tableMarker.ReplaceAllFunc(page, func(old []byte) []byte {
		name := string(tableMarker.FindSubmatch(old)[1])
		text, known := tables[name]
		if !known || seen[name] {
			fail(fmt.Errorf("marker of table %q is unknown or occurs twice", name))
		}
		seen[name] = true
		return fmt.Appendf(nil, "<!-- table: %s -->\n%s<!-- end of table -->", name, text)
	})
	for _, name := range slices.Sorted(maps.Keys(tables)) {
		if !seen[name] {
			fail(fmt.Errorf("no marker for table %q", name))
		}
	}
	return page, firstErr
}

// Differences returns the paths of the files in the docs directory that differ from files, the result of Build, or are
// missing. It adds the paths of charts that Build no longer returns. Pages are compared by their text, charts by the hash
// of their figures.
func Differences(docs string, files map[string][]byte) ([]string, error) {
	var different []string
	for _, name := range slices.Sorted(maps.Keys(files)) {
		present, err := os.ReadFile(filepath.Join(docs, name))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("comparing files: %w", err)
		}
		if !bytes.Equal(comparablePart(name, present), comparablePart(name, files[name])) {
			different = append(different, name)
		}
	}
	stale, err := staleCharts(docs, files)
	if err != nil {
		return nil, err
	}
	return append(different, stale...), nil
}

// staleCharts returns the paths of this package's charts in the docs directory that are not in files.
func staleCharts(docs string, files map[string][]byte) ([]string, error) {
	pattern := filepath.Join(docs, chartsDirectory, chartPrefix+"*"+chartExtension)
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return nil, fmt.Errorf("listing charts %s: %w", pattern, err)
	}
	var stale []string
	for _, path := range paths {
		name := filepath.Join(chartsDirectory, filepath.Base(path))
		if files[name] == nil {
			stale = append(stale, name)
		}
	}
	return stale, nil
}

// comparablePart returns the part of a file by which it is compared: the whole text of a page, or the last line of a chart,
// which contains the hash of its figures.
func comparablePart(name string, text []byte) []byte {
	if !strings.HasSuffix(name, chartExtension) {
		return text
	}
	text = bytes.TrimRight(text, "\n")
	return text[bytes.LastIndexByte(text, '\n')+1:]
}
