package settings

import (
	"bytes"
	"os"
	"testing"
)

// TestGoldenSchema detects changes of the schema, and so of the settings trees that operators may
// write.
func TestGoldenSchema(t *testing.T) {
	want, err := os.ReadFile("testdata/schema.golden")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(schemaText, want) {
		t.Error("schema.json differs from testdata/schema.golden")
	}
}
