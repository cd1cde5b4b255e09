package signal_test

import (
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/signal"
	_ "foxcross.dev/foxcross/platform" // registers its driver
)

func fields(t *testing.T) driver.HeaderFields {
	t.Helper()
	factory, err := driver.Drivers.Get("fleet")
	if err != nil {
		t.Fatal(err)
	}
	return factory().HeaderFields()
}

func TestParse(t *testing.T) {
	f := fields(t)
	for _, c := range []struct {
		name   string
		status int
		header http.Header
		want   []signal.Signal // of an Invalid only its field
	}{
		{"no signal", 503, http.Header{}, nil},
		{"a successful response", 200, http.Header{f.Seal: {"s"}}, []signal.Signal{signal.RateLimit{}}},
		{"a successful response without a seal", 200, http.Header{}, nil},
		{"a rate limit", 500, http.Header{f.Limit: {" 2.5 "}}, []signal.Signal{signal.RateLimit{PerSecond: 2.5}}},
		{"an invalid rate limit", 200, http.Header{f.Limit: {"x"}, f.Seal: {"s"}}, []signal.Signal{signal.Invalid{Field: f.Limit}}},
		{"a backoff", 503, http.Header{"Retry-After": {"1.5"}}, []signal.Signal{signal.Backoff{Delay: 1500 * time.Millisecond}}},
		{"a backoff in a successful response", 200, http.Header{"Retry-After": {"1"}}, []signal.Signal{signal.Invalid{Field: "Retry-After"}}},
		{"a backoff above the maximum", 503, http.Header{"Retry-After": {"1e300"}}, []signal.Signal{signal.Invalid{Field: "Retry-After"}}},
		{"draining", 404, http.Header{f.Draining: {"1"}}, []signal.Signal{signal.Draining{}}},
		{"an invalid draining value", 404, http.Header{f.Draining: {"0"}}, []signal.Signal{signal.Invalid{Field: f.Draining}}},
		{"all signals", 503, http.Header{f.Limit: {"3"}, "Retry-After": {"1"}, f.Draining: {"1"}},
			[]signal.Signal{signal.RateLimit{PerSecond: 3}, signal.Backoff{Delay: time.Second}, signal.Draining{}}},
		{"status 421", 421, http.Header{f.Limit: {"3"}, "Retry-After": {"1"}, f.Draining: {"1"}}, nil},
		{"an unknown signal", 200, http.Header{"Server-Mood": {"good"}}, []signal.Signal{signal.Unknown{Field: "Server-Mood"}}},
	} {
		got := signal.Parse(f, c.status, c.header)
		for n, s := range got {
			if i, invalid := s.(signal.Invalid); invalid {
				got[n] = signal.Invalid{Field: i.Field}
			}
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %#v, want %#v", c.name, got, c.want)
		}
	}
}

// tableRow matches a row of the page's table: the field or status, and its reader.
var tableRow = regexp.MustCompile("(?m)^\\| (`[^|]+`[^|]*|[0-9]{3}[^|]*) \\| [^|]+ \\| ([^|]+) \\|")

// readerCell matches a file and a text that the file contains.
var readerCell = regexp.MustCompile("^`([^`]+)` `([^`]+)`$")

// TestEveryFieldHasReader guards against a signal of endpoints that no code reads.
func TestEveryFieldHasReader(t *testing.T) {
	const root = "../../.."
	page, err := os.ReadFile(filepath.Join(root, "docs/design/endpoint-signals.md"))
	if err != nil {
		t.Fatal(err)
	}
	fieldCells := ""
	for _, match := range tableRow.FindAllStringSubmatch(string(page), -1) {
		fieldCells += match[1] + "\n"
		reader := strings.TrimSpace(match[2])
		if strings.HasPrefix(reader, "nobody: ") {
			continue
		}
		r := readerCell.FindStringSubmatch(reader)
		if r == nil {
			t.Errorf("%s: %q names neither a file with its reader nor a reason", match[1], reader)
			continue
		}
		source, err := os.ReadFile(filepath.Join(root, r[1]))
		if err != nil {
			t.Error(err)
		}
		if !strings.Contains(string(source), r[2]) {
			t.Errorf("%s: %s does not contain %s", match[1], r[1], r[2])
		}
	}
	f := fields(t)
	for _, name := range []string{f.RequestID, f.NotRun, f.Seal, f.Limit, f.Draining, "Retry-After"} {
		if !strings.Contains(fieldCells, "`"+name+"`") {
			t.Errorf("the page does not list %s", name)
		}
	}
}
