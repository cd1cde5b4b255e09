package process_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/process"
	"foxcross.dev/foxcross/internal/testing/entryprogram"
	"foxcross.dev/foxcross/internal/testing/golden"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

func TestMain(m *testing.M) {
	entryprogram.Main(m, func() error { return process.RunGateway("fleet") })
}

// metricNames returns the types, names and labels of metrics in the Prometheus text
// format, without the values.
func metricNames(text string) string {
	var names []string
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "# HELP") || line == "" {
			continue
		}
		if !strings.HasPrefix(line, "#") {
			line = line[:strings.LastIndexByte(line, ' ')]
		}
		names = append(names, line)
	}
	slices.Sort(names)
	return strings.Join(names, "\n") + "\n"
}

// requestLines returns the keys of the log lines of completed requests, in order.
func requestLines(t *testing.T, log []byte) string {
	t.Helper()
	var got strings.Builder
	scanner := bufio.NewScanner(bytes.NewReader(log))
	for scanner.Scan() {
		var line struct {
			Fields map[string]any `json:"fields"`
		}
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			t.Fatalf("%q: %v", scanner.Text(), err)
		}
		if line.Fields["request"] != nil {
			fmt.Fprintf(&got, "%v %v\n%s\n", line.Fields["request"], line.Fields["result"], golden.Keys(t, scanner.Bytes()))
		}
	}
	return got.String()
}

// TestGatewayGoldenFiles runs an entry as a separate process and compares its metrics,
// its state and the log lines of two requests with the golden files.
func TestGatewayGoldenFiles(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	runner := platformtest.NewRunner("i-1", "pool", platformtest.Events{To: 3, Pause: 2 * time.Millisecond})
	defer runner.Close()
	store.PutEndpoint(runner, "ready")
	store.Configure(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "r", "hostname": "h.example", "pathPrefix": "/chat/", "routeType": "streaming", "timeoutMs": 5000, "latencyGoalMs": 500, "itlTargetMs": 200, "backend": "pool", "maxAttempts": 1, "public": true}},
		"backends": []map[string]any{{"name": "pool", "maxConns": 10}},
	})
	ip := fmt.Sprintf("127.2.%d.%d", os.Getpid()>>8&255, os.Getpid()&255)
	data, err := json.Marshal(map[string]any{
		"nodeName": "entry-1", "zone": "z", "ip": ip, "portRange": []int{7340, 7355},
		"listen":   map[string]any{"frontend": ip + ":8227", "readiness": ip + ":8220"},
		"bounds":   map[string]any{"graceS": 2, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 50},
		"platform": map[string]any{"address": store.Address()},
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	c := entryprogram.Command(path)
	c.Stdout, c.Stderr = &stdout, &stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	ended := false
	defer func() {
		if !ended {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}()
	eventually(t, "readiness", func() bool {
		status, _ := fetch(t, get(t, ip+":8220/foxcross/readyz"))
		return status == http.StatusOK
	})
	for _, target := range []string{"/chat/a", "/nothing"} {
		request := get(t, ip+":8227"+target)
		request.Host = "h.example"
		request.Header.Set(platformtest.RequestIDField, target)
		fetch(t, request)
	}
	var metrics string
	eventually(t, "the metrics", func() bool {
		_, metrics = fetch(t, get(t, ip+":9464/metrics"))
		return strings.Contains(metrics, "not_found") && strings.Contains(metrics, "first_seconds") && strings.Contains(metrics, "live_entries") && strings.Contains(metrics, "list_records")
	})
	_, state := fetch(t, get(t, ip+":9464/state"))
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	err = c.Wait()
	ended = true
	if err != nil {
		t.Errorf("ended with %v: %s", err, stderr.String())
	}
	golden.Compare(t, "figures.golden", metricNames(metrics))
	golden.Compare(t, "state.golden", golden.Keys(t, []byte(state)))
	golden.Compare(t, "requests.golden", requestLines(t, stdout.Bytes()))
}
