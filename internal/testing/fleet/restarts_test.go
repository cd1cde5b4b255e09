package fleet_test

import (
	"fmt"
	"net/http"
	"testing"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// TestStreamIsNotResumedAtRestartedEngineOfAnotherVersion guards against a restart that the list does not show yet.
func TestStreamIsNotResumedAtRestartedEngineOfAnotherVersion(t *testing.T) {
	f := newMixedFleet(t, 2, 0)
	var engines []*platformtest.Runner
	for n, version := range []string{"v1", "v1", "v2"} {
		engines = append(engines, f.addEngineThatKeepsID(fmt.Sprintf("i-%s-%d", version, n), version))
	}
	f.awaitEndpoints(len(engines))
	streams := f.beginStreams(f.entries[0], 12, 2)
	f.eventually("an entry is certain where the streams began", func() bool {
		return f.resume(f.entries[1], streams[0]).status == http.StatusOK
	})
	f.store.SetFault(platformtest.Silent)
	f.entries[0].stop()
	engines[0].Close()
	restarted := engines[1].Restart("v2")
	t.Cleanup(restarted.Close)
	for _, s := range streams {
		f.resume(f.entries[1], s)
	}
	if got := len(restarted.Runs()); got > 0 {
		t.Errorf("the engine that restarted at v2 got %d streams of v1", got)
	}
}

// TestStreamsGoOnAtEnginesThatKeepTheirIDsWhileTheStoreIsSilent guards against sound streams that are refused as one engine has restarted.
func TestStreamsGoOnAtEnginesThatKeepTheirIDsWhileTheStoreIsSilent(t *testing.T) {
	f := newMixedFleet(t, 3, 0)
	var engines []*platformtest.Runner
	for n, version := range []string{"v1", "v1", "v1", "v1", "v2", "v2"} {
		engines = append(engines, f.addEngineThatKeepsID(fmt.Sprintf("i-%s-%d", version, n), version))
	}
	f.awaitEndpoints(len(engines))
	streams := f.beginStreams(f.entries[0], 24, 2)
	f.eventually("the entries are certain where the streams began, and of the engines", func() bool {
		last := streams[len(streams)-1]
		return f.resume(f.entries[1], last).status == http.StatusOK && f.resume(f.entries[2], last).status == http.StatusOK
	})
	f.store.SetFault(platformtest.Silent)
	f.entries[0].stop()
	restarted := engines[1].Restart("v2")
	t.Cleanup(restarted.Close)
	resumed := 0
	for n, s := range streams {
		a := f.resume(f.entries[1+n%2], s)
		if a.status != http.StatusOK {
			t.Logf("stream %d of %s: %d %s", n, s.version, a.status, a.body)
			continue
		}
		resumed++
		checkResumed(t, s, a)
	}
	if got := len(restarted.Runs()); got > 0 {
		t.Errorf("the engine that restarted at v2 got %d streams of v1", got)
	}
	if share := float64(resumed) / float64(len(streams)); share < minSoundShare {
		t.Errorf("%.2f of the streams went on", share)
	}
}

// addEngineThatKeepsID starts an engine whose record has a start time.
func (f *fleet) addEngineThatKeepsID(id, version string) *platformtest.Runner {
	r := platformtest.NewRunner(id, service, platformtest.Events{To: 20, Pause: eventPause})
	r.Engine, r.Version, r.StartedMS = true, version, 1
	f.t.Cleanup(r.Close)
	f.store.PutEndpoint(r, "ready")
	return r
}
