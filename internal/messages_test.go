package internal_test

import (
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

var (
	// messagePattern matches text in double quotes, which may go over a line's end.
	messagePattern = regexp.MustCompile(`"([^"]+)"`)
	// codeBlockPattern matches a line of a code block.
	codeBlockPattern = regexp.MustCompile(`(?m)^    .*$`)
	headingPattern   = regexp.MustCompile(`(?m)^#+ .*$`)
)

// programText returns the string literals of all code that runs in the programs, one a line.
func programText(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, root := range []string{"../cmd", "../coord", "../internal", "../platform"} {
		err := filepath.WalkDir(root, func(name string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir() && name == "../internal/testing":
				return filepath.SkipDir
			case filepath.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go"):
				return nil
			}
			source, err := os.ReadFile(name)
			if err != nil {
				return err
			}
			addLiterals(&all, source)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all.String()
}

func addLiterals(all *strings.Builder, source []byte) {
	var s scanner.Scanner
	files := token.NewFileSet()
	s.Init(files.AddFile("", files.Base(), len(source)), source, nil, 0)
	for {
		_, kind, literal := s.Scan()
		switch kind {
		case token.EOF:
			return
		case token.STRING:
			if text, err := strconv.Unquote(literal); err == nil {
				all.WriteString(text + "\n")
			}
		}
	}
}

// TestOperationsQuotesMessages checks that each text that OPERATIONS.md quotes is a message of the
// programs, or part of one, or a heading of the page.
func TestOperationsQuotesMessages(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	messages := programText(t)
	prose := codeBlockPattern.ReplaceAllString(string(page), "")
	headings := strings.Join(headingPattern.FindAllString(prose, -1), "\n")
	quotes := messagePattern.FindAllStringSubmatch(prose, -1)
	if len(quotes) == 0 {
		t.Fatal("the page quotes nothing")
	}
	for _, m := range quotes {
		text := strings.Join(strings.Fields(m[1]), " ")
		if !strings.Contains(messages, text) && !strings.Contains(headings, text) {
			t.Errorf("OPERATIONS.md quotes %q, which no program writes", text)
		}
	}
}
