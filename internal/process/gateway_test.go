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

// patience bounds each wait; nothing is measured against it.
const patience = 30 * time.Second

// fetch returns the status and body of an address, 0 while nothing listens.
func fetch(t *testing.T, q *http.Request) (int, string) {
	t.Helper()
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, string(body)
}

func get(t *testing.T, address string) *http.Request {
	t.Helper()
	q, err := http.NewRequest(http.MethodGet, "http://"+address, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	return q
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s did not come", what)
}

// TestNoSettings expects a numbered error where the platform names no file. It
// stands first: a process sets its log up once, before anything else runs.
func TestNoSettings(t *testing.T) {
	t.Setenv("FOXCROSS_CONFIG", "")
	if err := process.RunGateway("fleet"); err == nil || !strings.HasPrefix(err.Error(), "1701 ") {
		t.Errorf("got %v", err)
	}
	if err := process.RunGateway("nothing"); err == nil {
		t.Error("a driver that there isn't was taken")
	}
}

// TestWholeProcess runs an entry as the platform does: settings file, store,
// readiness, a request, figures, SIGHUP, SIGTERM.
func TestWholeProcess(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	runner := platformtest.NewRunner("i-1", "pool", platformtest.Answer{Status: 200, Body: "whole"})
	defer runner.Close()
	store.Put("servers/i-1", runner.Entry("ready"))
	store.Configure(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "r", "hostname": "h.example", "pathPrefix": "/", "routeType": "idempotent", "timeoutMs": 5000, "latencyGoalMs": 500, "backend": "pool", "maxAttempts": 1, "public": true}},
		"backends": []map[string]any{{"name": "pool", "maxConns": 10}},
	})
	// An address of its own, so that fixed ports are free.
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
	eventually(t, "readiness", func() bool { s, _ := fetch(t, get(t, ready)); return s == 200 })
	q := get(t, ip+":8227/page")
	q.Host = "h.example"
	q.Header.Set(platformtest.RequestIDField, "a")
	if status, body := fetch(t, q); status != 200 || body != "whole" {
		t.Fatalf("got %d %q", status, body)
	}
	eventually(t, "the figures", func() bool {
		_, figures := fetch(t, get(t, ip+":9464/metrics"))
		for _, name := range []string{
			"foxcross_entry_requests", "foxcross_entry_sends", "foxcross_entry_first_seconds", "foxcross_entry_total_seconds",
			"foxcross_entry_open_requests", "foxcross_entry_live_entries", "foxcross_entry_settings_version", "foxcross_entry_following_store",
		} {
			if !strings.Contains(figures, name) {
				return false
			}
		}
		return true
	})
	if _, dump := fetch(t, get(t, ip+":9464/state")); !strings.Contains(dump, `"id":"i-1"`) {
		t.Errorf("the state lacks the endpoint: %s", dump)
	}

	// A file that can't be used changes nothing.
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if status, _ := fetch(t, q); status != 200 {
		t.Errorf("got %d after SIGHUP", status)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end of readiness", func() bool { s, _ := fetch(t, get(t, ready)); return s != 200 })
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(patience):
		t.Error("the process did not end")
	}
}
