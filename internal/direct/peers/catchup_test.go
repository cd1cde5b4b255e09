package peers

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/directory"
)

// TestPeerWithoutSettingsAnswers guards against a panic of a peer that has no settings yet.
func TestPeerWithoutSettingsAnswers(t *testing.T) {
	d := directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
	w := httptest.NewRecorder()
	StateHandler(d).ServeHTTP(w, httptest.NewRequest(http.MethodGet, statePath+"?"+partField+"="+SettingsPart.String(), http.NoBody))
	if w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
}
