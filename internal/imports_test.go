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

// importViolation returns the reason why a file of a folder may not import a package, or an
// empty string if it may. Folders and packages are relative to the repository.
func importViolation(folder, imported string, test bool) string {
	support := isBelow(folder, "internal/testing") || isBelow(folder, "examples")
	switch {
	case isBelow(folder, "coord") && !isBelow(imported, "coord"):
		return "the library can be embedded by others and must not depend on the product"
	case test || support:
		return ""
	case isBelow(imported, "internal/testing") || isBelow(imported, "examples"):
		return "production code must not depend on test support"
	case imported == "platform" && !isBelow(folder, "cmd"):
		return "only a program selects its platform"
	case isBelow(folder, "internal/direct") && isBelow(imported, "internal/relay"):
		return "direct mode and relay mode must not depend on each other"
	case isBelow(folder, "internal/relay") && isBelow(imported, "internal/direct"):
		return "direct mode and relay mode must not depend on each other"
	case usedByBothModes(folder) && (isBelow(imported, "internal/direct") || isBelow(imported, "internal/relay")):
		return "packages used by both modes must not depend on either"
	default:
		return ""
	}
}

// usedByBothModes reports whether a folder is used by direct mode and relay mode. Wiring is
// excluded, since it combines the packages of both.
func usedByBothModes(folder string) bool {
	wiring := folder == "internal/command" || folder == "internal/process"
	return path.Dir(folder) == "internal" && !wiring
}

func isBelow(name, parent string) bool { return name == parent || strings.HasPrefix(name, parent+"/") }

// TestImports checks the direction of imports that docs/ARCHITECTURE.md describes.
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
			if why := importViolation(folder, imported, strings.HasSuffix(name, "_test.go")); why != "" {
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

// ownPackage returns the folder of a package and whether it belongs to this repository.
func ownPackage(imported string) (folder string, own bool) {
	if isBelow(imported, library) {
		return strings.TrimPrefix(imported, "foxcross.dev/"), true
	}
	return strings.CutPrefix(imported, product)
}

func TestImportViolation(t *testing.T) {
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
		if why := importViolation(c.folder, c.imported, c.test); (why == "") != c.allowed {
			t.Errorf("%s imports %s, test %t: %q", c.folder, c.imported, c.test, why)
		}
	}
}
