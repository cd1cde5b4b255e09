// Package golden compares output of the code with files below testdata. Only tests
// import it. The files record what other programs read or send, so a difference
// means that a wire format, a response or a page has changed.
package golden

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// updateVariable makes Compare write the files instead of comparing with them.
const updateVariable = "UPDATE_GOLDEN"

const fileMode = 0o644

// Test is the part of testing.TB that Compare uses. Ginkgo's GinkgoT has it too.
type Test interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Compare fails the test unless the content of testdata/name equals got.
func Compare(t Test, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv(updateVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatalf("golden: %v", err)
		}
		if err := os.WriteFile(path, []byte(got), fileMode); err != nil {
			t.Fatalf("golden: %v", err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("golden: %v", err)
	}
	if got != string(want) {
		t.Fatalf("differs from %s\ngot:\n%s\nwant:\n%s", path, got, want)
	}
}

// Keys returns the paths of all fields of a JSON text with the kinds of their
// values, sorted, one a line. The elements of a list share the path "[]".
func Keys(t Test, data []byte) string {
	t.Helper()
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		t.Fatalf("golden: %v", err)
	}
	found := map[string]bool{}
	collectPaths(found, "", v)
	return strings.Join(slices.Sorted(maps.Keys(found)), "\n") + "\n"
}

// collectPaths adds the paths of the fields of a value.
func collectPaths(found map[string]bool, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, field := range v {
			collectPaths(found, path+"."+name, field)
		}
	case []any:
		for _, element := range v {
			collectPaths(found, path+"[]", element)
		}
	case string:
		found[path+" string"] = true
	case float64:
		found[path+" number"] = true
	case bool:
		found[path+" bool"] = true
	default:
		found[path+" null"] = true
	}
}
