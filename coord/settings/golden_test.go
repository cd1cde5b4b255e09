package settings

import (
	"bytes"
	"os"
	"testing"
)

// TestGoldenSchema holds what operators may write in the settings tree to what
// they could write before.
func TestGoldenSchema(t *testing.T) {
	want, err := os.ReadFile("testdata/schema.golden")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(schemaText, want) {
		t.Error("schema.json differs from testdata/schema.golden")
	}
}
