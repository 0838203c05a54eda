package checkout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// referencePattern matches a reference to the code in docs/architecture.md: FILE:NAME between backquotes.
var referencePattern = regexp.MustCompile("`([a-z_/-]+\\.go):([A-Za-z]+)`")

// minReferences is the minimum number of references on the page. Without it, the test would pass if the pattern matched
// none of them.
const minReferences = 20

// Renaming or moving a declaration would leave the architecture page with a reference that its readers cannot follow.
func TestArchitecturePageRefersToExistingCode(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	references := referencePattern.FindAllStringSubmatch(string(page), -1)
	if len(references) < minReferences {
		t.Fatalf("docs/architecture.md has %d references to the code, want at least %d", len(references), minReferences)
	}
	for _, reference := range references {
		file, name := reference[1], reference[2]
		if !declares(t, filepath.Join(root, file), name) {
			t.Errorf("docs/architecture.md refers to %s:%s, but the file does not declare that name", file, name)
		}
	}
}

// declares reports whether a Go file declares a function, method or type with the given name.
func declares(t *testing.T, path, name string) bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Error(err)
		return false
	}
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if declaration.Name.Name == name {
				return true
			}
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				if spec, ok := spec.(*ast.TypeSpec); ok && spec.Name.Name == name {
					return true
				}
			}
		}
	}
	return false
}
