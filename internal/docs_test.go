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
	// linkPattern matches the target of a link within the repository.
	linkPattern = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	// quotedPattern matches text between backquotes on one line.
	quotedPattern = regexp.MustCompile("`([^`\n]+)`")
	// pathPattern matches a path of the repository, which may end in a line number.
	pathPattern = regexp.MustCompile(`^(?:internal|coord|platform|cmd|examples|docs|deploy|tools)/[\w./*-]+$`)
	// programPattern matches the package that a command line runs, tests or builds.
	programPattern = regexp.MustCompile(`(?:go (?:run|test|build)[^\n]*?)(\./(?:internal|coord|platform|cmd|examples)/[\w./-]+)`)
	// testNamePattern matches the name of a Go test.
	testNamePattern = regexp.MustCompile(`^Test[A-Z]\w+$`)
	// specificationPattern matches a specification that docs/PROMISES.md names by its text.
	specificationPattern = regexp.MustCompile(`"([a-z][^"\n]{7,})"`)
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

// testNamesAndText returns the names of all Go tests and the text of all test files.
func testNamesAndText(t *testing.T) (names map[string]bool, text string) {
	t.Helper()
	names = map[string]bool{}
	var all strings.Builder
	declaration := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir("..", func(name string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(name, "_test.go") {
			return err
		}
		data, err := os.ReadFile(name)
		all.Write(data)
		for _, m := range declaration.FindAllStringSubmatch(string(data), -1) {
			names[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names, all.String()
}

func exists(name string) bool {
	found, err := filepath.Glob(name)
	return err == nil && len(found) > 0
}

// TestPages checks that links, paths, programs and tests in pages exist.
func TestPages(t *testing.T) {
	tests, testText := testNamesAndText(t)
	for _, page := range pages(t) {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		text := string(data)
		for _, m := range linkPattern.FindAllStringSubmatch(text, -1) {
			if !exists(filepath.Join(filepath.Dir(page), m[1])) {
				t.Errorf("%s links to %s, which does not exist", page, m[1])
			}
		}
		for _, m := range quotedPattern.FindAllStringSubmatch(text, -1) {
			switch {
			case pathPattern.MatchString(m[1]) && !exists(filepath.Join("..", m[1])):
				t.Errorf("%s names %s, which does not exist", page, m[1])
			case testNamePattern.MatchString(m[1]) && !tests[m[1]]:
				t.Errorf("%s names the test %s, which does not exist", page, m[1])
			}
		}
		if filepath.Base(page) == "PROMISES.md" {
			for _, m := range specificationPattern.FindAllStringSubmatch(text, -1) {
				if !strings.Contains(testText, m[1]) {
					t.Errorf("%s names the specification %q, which does not exist", page, m[1])
				}
			}
		}
		for _, m := range programPattern.FindAllStringSubmatch(text, -1) {
			if !exists(filepath.Join("..", strings.TrimSuffix(m[1], "/..."))) {
				t.Errorf("%s runs %s, which does not exist", page, m[1])
			}
		}
	}
}

// placeholderPattern matches a mark for missing text.
var placeholderPattern = regexp.MustCompile(`@@\w+@@|\bTODO\b|\bTBD\b`)

// TestNoPageHoldsAPlaceholder checks that no page contains a placeholder.
func TestNoPageHoldsAPlaceholder(t *testing.T) {
	for _, name := range pages(t) {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if mark := placeholderPattern.Find(data); mark != nil {
			t.Errorf("%s holds %q", name, mark)
		}
	}
}
