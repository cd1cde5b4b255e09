package settings_test

import (
	"errors"
	"testing"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"
)

// FuzzParse parses arbitrary bytes as a tree. A tree is refused with a code, or is equal after
// Split and Join.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallTree))
	f.Add([]byte(`{"children":[{"name":"a","set":{"match":[{"prefix":"/"}]}}]}`))
	f.Add([]byte(`{"set":null}`))
	f.Add([]byte(`[]`))
	f.Add([]byte("{\"name\":\"\x00\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := settings.Parse(data)
		if err == nil {
			_, err = settings.Compile(tree)
		}
		var code *result.Error
		if err != nil && !errors.As(err, &code) {
			t.Fatalf("error without a code: %v", err)
		}
		if err != nil {
			return
		}
		r, parts, err := settings.Split(tree, settings.Root{Version: 1})
		if err != nil {
			t.Fatal(err)
		}
		joined, err := settings.Join(r, parts)
		if err != nil || len(settings.Diff(tree, joined)) > 0 {
			t.Fatalf("differences after Split and Join: %v, %v", settings.Diff(tree, joined), err)
		}
	})
}
