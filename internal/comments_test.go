package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestDocComments checks that each package and each exported item outside of tests has a
// doc comment. The linter checks the form of doc comments.
func TestDocComments(t *testing.T) {
	packages := map[string]bool{} // by folder, whether a file has the package comment
	err := filepath.WalkDir("..", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") {
			return err
		}
		files := token.NewFileSet()
		f, err := parser.ParseFile(files, name, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		folder := filepath.Dir(name)
		packages[folder] = packages[folder] || f.Doc.Text() != ""
		for _, at := range undocumentedItems(f) {
			t.Errorf("%s: an exported item has no doc comment", files.Position(at))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for folder, documented := range packages {
		if !documented {
			t.Errorf("%s: the package has no comment", folder)
		}
	}
}

// undocumentedItems returns the positions of exported items without a doc comment. In a
// group of constants or variables the comment of the group is sufficient.
func undocumentedItems(f *ast.File) []token.Pos {
	var found []token.Pos
	for _, d := range f.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			if d.Name.IsExported() && hasExportedReceiver(d) && d.Doc == nil {
				found = append(found, d.Pos())
			}
		case *ast.GenDecl:
			for _, s := range d.Specs {
				if d.Doc == nil && !isDocumented(s) {
					found = append(found, s.Pos())
				}
			}
		}
	}
	return found
}

// hasExportedReceiver reports whether a function has no receiver or one of an exported
// type.
func hasExportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	of := d.Recv.List[0].Type
	if p, ok := of.(*ast.StarExpr); ok {
		of = p.X
	}
	if g, ok := of.(*ast.IndexExpr); ok {
		of = g.X
	}
	name, ok := of.(*ast.Ident)
	return ok && name.IsExported()
}

// isDocumented reports whether a declaration has a comment or needs none.
func isDocumented(s ast.Spec) bool {
	switch s := s.(type) {
	case *ast.TypeSpec:
		return !s.Name.IsExported() || s.Doc != nil
	case *ast.ValueSpec:
		exported := false
		for _, n := range s.Names {
			exported = exported || n.IsExported()
		}
		return !exported || s.Doc != nil || s.Comment != nil
	default:
		return true
	}
}
