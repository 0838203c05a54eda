package capacity

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// If figures or the plan are committed without the page, it shows outdated costs. Running the capacity command updates it.
func TestCommittedPageMatchesFigures(t *testing.T) {
	const docs = "../../docs"
	files, err := Build(docs)
	if err != nil {
		t.Fatal(err)
	}
	different, err := Differences(docs, files)
	if err != nil || len(different) > 0 {
		t.Errorf("files that differ from the figures: %v, error %v (run: go run ./cmd/gorseledge-lab capacity)", different, err)
	}
}

// pageText returns a page with markers for each table and no text between them.
func pageText() string {
	page := "# Capacity\n\nWritten by hand.\n"
	for _, name := range slices.Sorted(maps.Keys((&evaluation{plan: &Plan{}}).tables())) {
		page += "\n<!-- table: " + name + " -->\n<!-- end of table -->\n"
	}
	return page + "\nAnd the end.\n"
}

// newDocs returns a directory with a plan, figures, and the page and charts that Build returns for them.
func newDocs(t *testing.T) string {
	t.Helper()
	docs := t.TempDir()
	for name, text := range map[string]string{planFile: planText, "capacity/rest.csv": string(measured(100, 200, 400)["rest"].CSV()),
		pageFile: pageText()} {
		writeFile(t, filepath.Join(docs, name), text)
	}
	files, err := Build(docs)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range files {
		writeFile(t, filepath.Join(docs, name), string(text))
	}
	return docs
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// editFile replaces the first occurrence of a text in a file.
func editFile(t *testing.T, path, from, to string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), from, to, 1)
	if changed == string(text) {
		t.Fatalf("%s does not contain %q", path, from)
	}
	writeFile(t, path, changed)
}

// Build must not overwrite the page's text outside the tables.
func TestBuildFillsTablesAndKeepsText(t *testing.T) {
	docs := newDocs(t)
	text, err := os.ReadFile(filepath.Join(docs, pageFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"Written by hand.\n", "And the end.\n", "| memory | a table | 50 B a node ±",
		"| shards | none yet: a hash over members |", "| calls | a watch | 0.3 a second |", "charts/capacity-rest-virtual-nodes-rest-node-memory.svg"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the page does not contain %q:\n%s", want, text)
		}
	}
	if strings.Index(string(text), "| serving: shards |") > strings.Index(string(text), "| node control: memory |") {
		t.Error("the row without a mechanism is not the first of the limits")
	}
}

const testChart = "charts/capacity-rest-virtual-nodes-rest-node-memory.svg"

// A change that Differences misses would leave outdated tables or charts in the docs.
func TestDifferencesListsChangedFiles(t *testing.T) {
	for name, c := range map[string]struct {
		change func(t *testing.T, docs string)
		want   []string
	}{
		"nothing changed": {func(*testing.T, string) {}, nil},
		"changed figure": {func(t *testing.T, docs string) {
			editFile(t, filepath.Join(docs, "capacity/rest.csv"), "5095", "5195")
		}, []string{pageFile, testChart}},
		"changed provenance": {func(t *testing.T, docs string) {
			editFile(t, filepath.Join(docs, "capacity/rest.csv"), "# cores: 1", "# cores: 2")
		}, []string{pageFile}},
		"changed plan": {func(t *testing.T, docs string) {
			editFile(t, filepath.Join(docs, planFile), "nodes = 860", "nodes = 870")
		}, []string{pageFile}},
		"edited table": {func(t *testing.T, docs string) {
			editFile(t, filepath.Join(docs, pageFile), "50 B a node", "40 B a node")
		}, []string{pageFile}},
		"changed hash of a chart": {func(t *testing.T, docs string) {
			editFile(t, filepath.Join(docs, testChart), "<!-- figures ", "<!-- figures 0")
		}, []string{testChart}},
		"missing chart": {func(t *testing.T, docs string) {
			if err := os.Remove(filepath.Join(docs, testChart)); err != nil {
				t.Fatal(err)
			}
		}, []string{testChart}},
		"stale chart": {func(t *testing.T, docs string) {
			writeFile(t, filepath.Join(docs, "charts/capacity-old.svg"), "<svg/>")
		}, []string{"charts/capacity-old.svg"}},
		"chart of another command": {func(t *testing.T, docs string) {
			writeFile(t, filepath.Join(docs, "charts/members-30.svg"), "<svg/>")
		}, nil},
		"edited text outside the tables": {func(t *testing.T, docs string) {
			editFile(t, filepath.Join(docs, pageFile), "Written by hand", "Written anew")
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			docs := newDocs(t)
			c.change(t, docs)
			files, err := Build(docs)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Differences(docs, files)
			if err != nil || !slices.Equal(got, c.want) {
				t.Errorf("Differences returned %v, error %v; want %v", got, err, c.want)
			}
		})
	}
}

// A table without its marker, or a misspelt marker, would leave a table of the page outdated without notice.
func TestFillTablesRejectsUnmatchedMarkers(t *testing.T) {
	for name, c := range map[string]struct{ page, want string }{
		"unknown": {"<!-- table: a -->\n<!-- end of table -->\n<!-- table: b -->\n<!-- end of table -->",
			`marker of table "b" is unknown`},
		"twice":    {strings.Repeat("<!-- table: a -->\n<!-- end of table -->\n", 2), `marker of table "a" is unknown or occurs twice`},
		"missing":  {"nothing", `no marker for table "a"`},
		"no end":   {"<!-- table: a -->\n", `no marker for table "a"`},
		"complete": {"<!-- table: a -->\nold\n<!-- end of table -->", ""},
	} {
		t.Run(name, func(t *testing.T) {
			page, err := fillTables([]byte(c.page), map[string]string{"a": "new\n"})
			switch {
			case c.want == "" && (err != nil || string(page) != "<!-- table: a -->\nnew\n<!-- end of table -->"):
				t.Errorf("fillTables returned %q, error %v", page, err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}
