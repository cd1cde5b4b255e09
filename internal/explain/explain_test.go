package explain_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	"foxcross.dev/foxcross/internal/explain"
)

var update = flag.Bool("update", false, "write the golden file anew")

const golden = "testdata/story.golden"

func TestStory(t *testing.T) {
	log, err := os.Open("testdata/entry.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	var out bytes.Buffer
	found, err := explain.Story(&out, log, "51c5b1ff8983e159")
	if err != nil || !found {
		t.Fatalf("found %v: %v", found, err)
	}
	if *update {
		if err := os.WriteFile(golden, out.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", out.String(), want)
	}
}

func TestUnknownRequest(t *testing.T) {
	found, err := explain.Story(&bytes.Buffer{}, strings.NewReader("no JSON\n{\"fields\":{\"request\":\"b\"}}\n"), "a")
	if found || err != nil {
		t.Errorf("found %v: %v", found, err)
	}
}

func TestLongLine(t *testing.T) {
	if _, err := explain.Story(&bytes.Buffer{}, strings.NewReader(strings.Repeat("x", 2<<20)), "a"); err == nil {
		t.Error("a line beyond the bound was taken")
	}
}
