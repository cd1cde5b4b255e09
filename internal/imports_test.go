package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const (
	product = "foxcross.dev/foxcross/"
	library = "foxcross.dev/coord"
)

// forbidden tells why a file of a folder may not import a package; empty if it
// may. Folders and packages are relative to the repository.
func forbidden(folder, imported string, test bool) string {
	support := below(folder, "internal/testing") || below(folder, "examples")
	switch {
	case below(folder, "coord") && !below(imported, "coord"):
		return "the library is for others to embed and knows nothing of the product"
	case test || support:
		return ""
	case below(imported, "internal/testing") || below(imported, "examples"):
		return "test support stays out of what runs in production"
	case imported == "platform" && !below(folder, "cmd"):
		return "only a program chooses its platform"
	case below(folder, "internal/direct") && below(imported, "internal/relay"):
		return "the two ways of serving know nothing of each other"
	case below(folder, "internal/relay") && below(imported, "internal/direct"):
		return "the two ways of serving know nothing of each other"
	case shared(folder) && (below(imported, "internal/direct") || below(imported, "internal/relay")):
		return "what both ways need knows neither"
	default:
		return ""
	}
}

// shared tells whether a folder holds what both ways of serving need. Wiring is
// not among it: it puts the parts of both together.
func shared(folder string) bool {
	wiring := folder == "internal/command" || folder == "internal/process"
	return path.Dir(folder) == "internal" && !wiring
}

func below(name, parent string) bool { return name == parent || strings.HasPrefix(name, parent+"/") }

// TestImports holds the direction of imports that docs/ARCHITECTURE.md describes.
func TestImports(t *testing.T) {
	root := ".."
	files := 0
	err := filepath.WalkDir(root, func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(name) != ".go" {
			return err
		}
		files++
		parsed, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, name)
		if err != nil {
			return err
		}
		folder := path.Dir(filepath.ToSlash(relative))
		for _, i := range parsed.Imports {
			text, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			imported, own := ownPackage(text)
			if !own {
				continue
			}
			if why := forbidden(folder, imported, strings.HasSuffix(name, "_test.go")); why != "" {
				t.Errorf("%s imports %s: %s", relative, imported, why)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files == 0 {
		t.Error("no files were read")
	}
}

// ownPackage returns the folder of a package of this repository.
func ownPackage(imported string) (folder string, own bool) {
	if below(imported, library) {
		return strings.TrimPrefix(imported, "foxcross.dev/"), true
	}
	return strings.CutPrefix(imported, product)
}

func TestForbidden(t *testing.T) {
	for _, c := range []struct {
		folder, imported string
		test, allowed    bool
	}{
		{"internal/direct/gateway", "internal/logs", false, true},
		{"internal/direct/gateway", "internal/testing/standin", false, false},
		{"internal/direct/gateway", "internal/testing/standin", true, true},
		{"internal/direct/gateway", "internal/relay/entry", false, false},
		{"internal/relay/entry", "internal/direct/gateway", false, false},
		{"internal/logs", "internal/direct/record", false, false},
		{"internal/process", "internal/direct/gateway", false, true},
		{"internal/process", "platform", false, false},
		{"cmd/foxcross-entry", "platform", false, true},
		{"coord/settings", "internal/logs", true, false},
		{"coord/settings", "coord/result", false, true},
		{"examples/local", "internal/testing/caller", false, true},
	} {
		if why := forbidden(c.folder, c.imported, c.test); (why == "") != c.allowed {
			t.Errorf("%s imports %s, test %t: %q", c.folder, c.imported, c.test, why)
		}
	}
}
