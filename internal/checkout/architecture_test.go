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

// placePattern matches a place in the code as docs/architecture.md writes it: FILE:NAME between backquotes.
var placePattern = regexp.MustCompile("`([a-z_/-]+\\.go):([A-Za-z]+)`")

// leastPlaces is the number of places that the page names at least. It prevents a pattern that finds none from passing.
const leastPlaces = 20

// The architecture page names files and functions; a reader who follows it finds them.
func TestArchitecturePageNamesPlacesThatExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	places := placePattern.FindAllStringSubmatch(string(page), -1)
	if len(places) < leastPlaces {
		t.Fatalf("the page names %d places, want at least %d", len(places), leastPlaces)
	}
	for _, place := range places {
		file, name := place[1], place[2]
		if !declares(t, filepath.Join(root, file), name) {
			t.Errorf("%s declares no %s", file, name)
		}
	}
}

// declares reports whether a Go file declares a function, method or type of that name.
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
