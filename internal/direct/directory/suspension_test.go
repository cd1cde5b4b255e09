package directory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/testing/suspension"
)

// TestSettingsAgeWhileSuspended checks that the age of the last confirmation includes the time
// for which the machine was suspended.
func TestSettingsAgeWhileSuspended(t *testing.T) {
	d := directory.New(func(directory.ActiveSettings) {}, (&endpointRecorder{}).record, func([]string) {})
	d.ApplySettings(1, tree(), "test")
	d.Confirm(1, steady.Now())
	t.Cleanup(suspension.Suspend(time.Minute))
	if age := steady.Since(d.Confirmed()); age < time.Minute {
		t.Errorf("confirmed %v ago", age)
	}
}

// TestRetentionExpiresWhileSuspended checks that a suspension does not prolong the retention
// of an endpoint.
func TestRetentionExpiresWhileSuspended(t *testing.T) {
	s := &fakeStore{version: 1, revision: 3, list: endpointsOf("a")}
	withRetention(t, s, time.Hour, func(r *endpointRecorder) {
		watching, end := context.WithCancel(context.Background())
		defer end()
		go steady.FireAfterSuspension(watching)
		s.outage(nil)
		r.expect(t, "just after the outage", "a")
		t.Cleanup(suspension.Suspend(time.Minute))
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		r.expect(t, "after a minute")
	})
}
