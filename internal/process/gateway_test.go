package process_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/process"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"

	_ "foxcross.dev/foxcross/platform" // registers its driver
)

// waitTimeout bounds each wait. No test measures a duration against it.
const waitTimeout = 30 * time.Second

// fetch returns the status and body of the response. The status is 0 if the request fails.
func fetch(t *testing.T, request *http.Request) (int, string) {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func get(t *testing.T, address string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	return request
}

// eventually waits until the condition holds. name is what it waits for.
func eventually(t *testing.T, name string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", name)
}

// TestRunGatewayWithoutSettings checks the numbered error for a platform that names no
// file. It must be the first test: a process sets up its log once, before anything else
// runs.
func TestRunGatewayWithoutSettings(t *testing.T) {
	t.Setenv("FOXCROSS_CONFIG", "")
	if err := process.RunGateway("fleet"); err == nil || !strings.HasPrefix(err.Error(), "1701 ") {
		t.Errorf("got %v", err)
	}
	if err := process.RunGateway("nothing"); err == nil {
		t.Error("RunGateway accepted an unknown driver")
	}
}

// TestRunGateway runs an entry as the platform does: settings file, store, readiness,
// a request, metrics, SIGHUP, SIGTERM.
func TestRunGateway(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	runner := platformtest.NewRunner("i-1", "pool", platformtest.Answer{Status: 200, Body: "whole"})
	defer runner.Close()
	store.Put("servers/i-1", runner.Record("ready"))
	store.Configure(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "r", "hostname": "h.example", "pathPrefix": "/", "routeType": "idempotent", "timeoutMs": 5000, "latencyGoalMs": 500, "backend": "pool", "maxAttempts": 1, "public": true}},
		"backends": []map[string]any{{"name": "pool", "maxConns": 10}},
	})
	// A separate loopback address, on which the fixed ports are free.
	ip := fmt.Sprintf("127.1.%d.%d", os.Getpid()>>8&255, os.Getpid()&255)
	settings := map[string]any{
		"nodeName": "entry-1", "zone": "z", "ip": ip, "portRange": []int{7340, 7355},
		"listen":   map[string]any{"frontend": ip + ":8227", "readiness": ip + ":8220"},
		"bounds":   map[string]any{"graceS": 2, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 50},
		"platform": map[string]any{"address": store.Address()},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("FOXCROSS_CONFIG", path)
	ended := make(chan error, 1)
	go func() { ended <- process.RunGateway("fleet") }()

	ready := ip + ":8220/foxcross/readyz"
	eventually(t, "readiness", func() bool { status, _ := fetch(t, get(t, ready)); return status == 200 })
	request := get(t, ip+":8227/page")
	request.Host = "h.example"
	request.Header.Set(platformtest.RequestIDField, "a")
	if status, body := fetch(t, request); status != 200 || body != "whole" {
		t.Fatalf("got %d %q", status, body)
	}
	eventually(t, "the metrics", func() bool {
		_, metrics := fetch(t, get(t, ip+":9464/metrics"))
		for _, name := range []string{
			"foxcross_entry_requests", "foxcross_entry_sends", "foxcross_entry_first_seconds", "foxcross_entry_total_seconds",
			"foxcross_entry_open_requests", "foxcross_entry_live_entries", "foxcross_entry_settings_version", "foxcross_entry_following_store",
		} {
			if !strings.Contains(metrics, name) {
				return false
			}
		}
		return true
	})
	if _, dump := fetch(t, get(t, ip+":9464/state")); !strings.Contains(dump, `"id":"i-1"`) {
		t.Errorf("the state does not contain the endpoint: %s", dump)
	}

	// An invalid file changes nothing.
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if status, _ := fetch(t, request); status != 200 {
		t.Errorf("got %d after SIGHUP", status)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end of readiness", func() bool { status, _ := fetch(t, get(t, ready)); return status != 200 })
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the process did not exit")
	}
}
