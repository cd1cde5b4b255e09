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

func fields(t *testing.T) driver.Fields {
	t.Helper()
	factory, err := driver.Drivers.Get("fleet")
	if err != nil {
		t.Fatal(err)
	}
	return factory().Fields()
}

func TestParse(t *testing.T) {
	f := fields(t)
	for _, c := range []struct {
		name   string
		status int
		header http.Header
		want   []signal.Signal // an Invalid by its field only
	}{
		{"nothing", 503, http.Header{}, nil},
		{"a success", 200, http.Header{f.Seal: {"s"}}, []signal.Signal{signal.RateLimit{}}},
		{"a success that is not the endpoint's", 200, http.Header{}, nil},
		{"a limit", 500, http.Header{f.Limit: {" 2.5 "}}, []signal.Signal{signal.RateLimit{PerSecond: 2.5}}},
		{"an invalid limit", 200, http.Header{f.Limit: {"x"}, f.Seal: {"s"}}, []signal.Signal{signal.Invalid{Field: f.Limit}}},
		{"a backoff", 503, http.Header{"Retry-After": {"1.5"}}, []signal.Signal{signal.Backoff{Delay: 1500 * time.Millisecond}}},
		{"a backoff on a success", 200, http.Header{"Retry-After": {"1"}}, []signal.Signal{signal.Invalid{Field: "Retry-After"}}},
		{"an endless backoff", 503, http.Header{"Retry-After": {"1e300"}}, []signal.Signal{signal.Invalid{Field: "Retry-After"}}},
		{"draining", 404, http.Header{f.Draining: {"1"}}, []signal.Signal{signal.Draining{}}},
		{"not draining", 404, http.Header{f.Draining: {"0"}}, []signal.Signal{signal.Invalid{Field: f.Draining}}},
		{"all of them", 503, http.Header{f.Limit: {"3"}, "Retry-After": {"1"}, f.Draining: {"1"}},
			[]signal.Signal{signal.RateLimit{PerSecond: 3}, signal.Backoff{Delay: time.Second}, signal.Draining{}}},
		{"another endpoint", 421, http.Header{f.Limit: {"3"}, "Retry-After": {"1"}, f.Draining: {"1"}}, nil},
		{"one that is not known", 200, http.Header{"Server-Mood": {"good"}}, []signal.Signal{signal.Unread{Field: "Server-Mood"}}},
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

// row is a row of the page's table: the field or status, and who reads it.
var row = regexp.MustCompile("(?m)^\\| (`[^|]+`[^|]*|[0-9]{3}[^|]*) \\| [^|]+ \\| ([^|]+) \\|")

// reader is a file and what stands in it.
var reader = regexp.MustCompile("^`([^`]+)` `([^`]+)`$")

// TestEachFieldIsRead guards against a signal of endpoints that nothing reads.
func TestEachFieldIsRead(t *testing.T) {
	const root = "../../.."
	page, err := os.ReadFile(filepath.Join(root, "docs/design/endpoint-signals.md"))
	if err != nil {
		t.Fatal(err)
	}
	listed := ""
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		listed += match[1] + "\n"
		by := strings.TrimSpace(match[2])
		if strings.HasPrefix(by, "nobody: ") {
			continue
		}
		r := reader.FindStringSubmatch(by)
		if r == nil {
			t.Errorf("%s: %q names neither a file and what reads it nor a reason", match[1], by)
			continue
		}
		source, err := os.ReadFile(filepath.Join(root, r[1]))
		if err != nil {
			t.Error(err)
		}
		if !strings.Contains(string(source), r[2]) {
			t.Errorf("%s: %s has no %s", match[1], r[1], r[2])
		}
	}
	f := fields(t)
	for _, name := range []string{f.RequestID, f.NotRun, f.Seal, f.Limit, f.Draining, "Retry-After"} {
		if !strings.Contains(listed, "`"+name+"`") {
			t.Errorf("the page lists no %s", name)
		}
	}
}
