package livesettings

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Operators would use a wrong unit or range if the page and the code disagreed. The page has to have exactly one row for each
// key, with its unit and range.
func TestEveryKeyIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operating.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "## Live settings\n")
	section, _, _ = strings.Cut(section, "\n## ")
	if !found {
		t.Fatal("the page has no section \"Live settings\"")
	}
	rows := 0
	for _, line := range strings.Split(section, "\n") {
		if strings.HasPrefix(line, "| `") && strings.Count(line, " | ") == 3 {
			rows++
		}
	}
	if rows != len(keys) {
		t.Errorf("the page has %d rows for %d keys", rows, len(keys))
	}
	for _, k := range keys {
		name := strings.NewReplacer("hosts.*", "hosts.ID", "*", "NAME").Replace(k.pattern)
		row := fmt.Sprintf("| `%s` | %s | %s to %s", name, k.unit, formatNumber(k.min), formatNumber(k.max))
		if k.setText != nil {
			row = fmt.Sprintf("| `%s` | host:port | port 1 to %d", name, MaxPort)
		}
		if !strings.Contains(section, row) {
			t.Errorf("the page has no row that begins with %q", row)
		}
	}
}
