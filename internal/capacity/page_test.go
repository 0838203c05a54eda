package capacity

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The committed page and charts are what the committed figures give.
func TestCommittedPageMatchesFigures(t *testing.T) {
	const docs = "../../docs"
	files, err := Build(docs)
	if err != nil {
		t.Fatal(err)
	}
	different, err := Differences(docs, files)
	if err != nil || len(different) > 0 {
		t.Errorf("not as the figures give it: %v, %v (go run ./cmd/gorseledge-lab capacity)", different, err)
	}
}

// pageText returns a page with empty markers for each table.
func pageText() string {
	page := "# Capacity\n\nWritten by hand.\n"
	for _, name := range slices.Sorted(maps.Keys((&evaluation{plan: &Plan{}}).tables())) {
		page += "\n<!-- table: " + name + " -->\n<!-- end of table -->\n"
	}
	return page + "\nAnd the end.\n"
}

// newDocs returns a directory with a plan, figures, and the page and charts that Build writes for them.
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
		t.Fatalf("%s has no %q", path, from)
	}
	writeFile(t, path, changed)
}

func TestBuildFillsTablesAndKeepsText(t *testing.T) {
	docs := newDocs(t)
	text, err := os.ReadFile(filepath.Join(docs, pageFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"Written by hand.\n", "And the end.\n", "| memory | a table | 50 B a node ±",
		"| shards | none yet: a hash over members |", "| calls | a watch | 0.3 a second |", "charts/capacity-rest-virtual-nodes-rest-node-memory.svg"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
	if strings.Index(string(text), "| serving: shards |") > strings.Index(string(text), "| node control: memory |") {
		t.Error("what reaches nothing does not stand first")
	}
}

const testChart = "charts/capacity-rest-virtual-nodes-rest-node-memory.svg"

func TestDifferencesListsChangedFiles(t *testing.T) {
	for name, c := range map[string]struct {
		change func(t *testing.T, docs string)
		want   []string
	}{
		"nothing changed": {func(*testing.T, string) {}, nil},
		"a figure": {func(t *testing.T, docs string) {
			editFile(t, filepath.Join(docs, "capacity/rest.csv"), "5095", "5195")
		}, []string{pageFile, testChart}},
		"where a run was": {func(t *testing.T, docs string) {
			editFile(t, filepath.Join(docs, "capacity/rest.csv"), "# cores: 1", "# cores: 2")
		}, []string{pageFile}},
		"the plan": {func(t *testing.T, docs string) {
			editFile(t, filepath.Join(docs, planFile), "nodes = 860", "nodes = 870")
		}, []string{pageFile}},
		"a table of the page": {func(t *testing.T, docs string) {
			editFile(t, filepath.Join(docs, pageFile), "50 B a node", "40 B a node")
		}, []string{pageFile}},
		"a chart": {func(t *testing.T, docs string) {
			editFile(t, filepath.Join(docs, testChart), "<!-- figures ", "<!-- figures 0")
		}, []string{testChart}},
		"no chart": {func(t *testing.T, docs string) {
			if err := os.Remove(filepath.Join(docs, testChart)); err != nil {
				t.Fatal(err)
			}
		}, []string{testChart}},
		"a chart of old": {func(t *testing.T, docs string) {
			writeFile(t, filepath.Join(docs, "charts/capacity-old.svg"), "<svg/>")
		}, []string{"charts/capacity-old.svg"}},
		"a chart of others": {func(t *testing.T, docs string) {
			writeFile(t, filepath.Join(docs, "charts/members-30.svg"), "<svg/>")
		}, nil},
		"what was written by hand": {func(t *testing.T, docs string) {
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
				t.Errorf("%v, %v; want %v", got, err, c.want)
			}
		})
	}
}

func TestFillTablesRejectsUnmatchedMarkers(t *testing.T) {
	for name, c := range map[string]struct{ page, want string }{
		"unknown":  {"<!-- table: a -->\n<!-- end of table -->\n<!-- table: b -->\n<!-- end of table -->", `"b" stands for none`},
		"twice":    {strings.Repeat("<!-- table: a -->\n<!-- end of table -->\n", 2), "twice"},
		"missing":  {"nothing", `no mark for table "a"`},
		"no end":   {"<!-- table: a -->\n", `no mark for table "a"`},
		"complete": {"<!-- table: a -->\nold\n<!-- end of table -->", ""},
	} {
		t.Run(name, func(t *testing.T) {
			page, err := fillTables([]byte(c.page), map[string]string{"a": "new\n"})
			switch {
			case c.want == "" && (err != nil || string(page) != "<!-- table: a -->\nnew\n<!-- end of table -->"):
				t.Errorf("%q, %v", page, err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
}
