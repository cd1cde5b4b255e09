package peers

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/directory"
)

func TestRefetchDelayGrowsUntilAFetchBringsSomething(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var s aheadState
	for n, want := range []time.Duration{50, 100, 200, 400, 400} {
		want *= time.Millisecond
		if got := s.recordFetch(now, false); got != want || !s.refetchAt.Equal(now.Add(want)) {
			t.Errorf("fetch %d that brought nothing: delay %v until %v", n, got, s.refetchAt)
		}
	}
	if got := s.recordFetch(now, true); got != 0 {
		t.Errorf("a fetch that brought something: delay %v", got)
	}
	if got := s.recordFetch(now, false); got != minRefetchDelay {
		t.Errorf("the next that brought nothing: delay %v", got)
	}
}

// TestPeerWithoutSettingsAnswers guards against a panic of a peer that has no settings yet.
func TestPeerWithoutSettingsAnswers(t *testing.T) {
	d := directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
	w := httptest.NewRecorder()
	StateHandler(d).ServeHTTP(w, httptest.NewRequest(http.MethodGet, statePath+"?"+partField+"="+SettingsPart.String(), http.NoBody))
	if w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
}

// TestClientThatWaitsForTheEncodingHoldsNoTransfer guards against clients that gave up and keep others out.
func TestClientThatWaitsForTheEncodingHoldsNoTransfer(t *testing.T) {
	d := directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
	h := &stateHandler{directory: d, transfers: make(chan struct{}, maxTransfers)}
	h.encodings.mu.Lock()
	served := make(chan struct{})
	for range maxTransfers {
		go func() {
			h.serve(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, statePath+"?"+partField+"="+SettingsPart.String(), http.NoBody))
			served <- struct{}{}
		}()
	}
	held := 0
	for end := time.Now().Add(200 * time.Millisecond); held == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		held = len(h.transfers)
	}
	h.encodings.mu.Unlock()
	for range maxTransfers {
		<-served
	}
	if held > 0 {
		t.Errorf("%d transfers are held while the settings are encoded", held)
	}
}
