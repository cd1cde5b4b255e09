package internal_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// link is the target of a link within the repository.
	link = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	// quoted is what stands between backquotes on one line.
	quoted = regexp.MustCompile("`([^`\n]+)`")
	// place is a path of the repository, perhaps with a line number.
	place = regexp.MustCompile(`^(?:internal|coord|platform|cmd|examples|docs|deploy|tools)/[\w./*-]+$`)
	// program is what a command line runs or tests.
	program = regexp.MustCompile(`(?:go (?:run|test|build)[^\n]*?)(\./(?:internal|coord|platform|cmd|examples)/[\w./-]+)`)
	// testName is a Go test that a page names.
	testName = regexp.MustCompile(`^Test[A-Z]\w+$`)
)

// pages returns the names of all pages below the root.
func pages(t *testing.T) []string {
	t.Helper()
	var all []string
	err := filepath.WalkDir("..", func(name string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && filepath.Ext(name) == ".md" {
			all = append(all, name)
		}
		return err
	})
	if err != nil || len(all) == 0 {
		t.Fatalf("%d pages: %v", len(all), err)
	}
	return all
}

// testNames returns the names of all Go tests.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir("..", func(name string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(name, "_test.go") {
			return err
		}
		data, err := os.ReadFile(name)
		for _, m := range declaration.FindAllStringSubmatch(string(data), -1) {
			names[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func exists(name string) bool {
	found, err := filepath.Glob(name)
	return err == nil && len(found) > 0
}

// TestPages holds that links, paths, programs and tests that pages name exist.
func TestPages(t *testing.T) {
	tests := testNames(t)
	for _, page := range pages(t) {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		text := string(data)
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			if !exists(filepath.Join(filepath.Dir(page), m[1])) {
				t.Errorf("%s links to %s, which does not exist", page, m[1])
			}
		}
		for _, m := range quoted.FindAllStringSubmatch(text, -1) {
			switch {
			case place.MatchString(m[1]) && !exists(filepath.Join("..", m[1])):
				t.Errorf("%s names %s, which does not exist", page, m[1])
			case testName.MatchString(m[1]) && !tests[m[1]]:
				t.Errorf("%s names the test %s, which does not exist", page, m[1])
			}
		}
		for _, m := range program.FindAllStringSubmatch(text, -1) {
			if !exists(filepath.Join("..", strings.TrimSuffix(m[1], "/..."))) {
				t.Errorf("%s runs %s, which does not exist", page, m[1])
			}
		}
	}
}
