package directory_test

import (
	"context"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
)

// evacuationStore is a fakeStore with evacuations of data centres.
type evacuationStore struct {
	fakeStore
	changes []driver.Evacuation
}

// evacuate starts or ends an evacuation at the store's next revision.
func (s *evacuationStore) evacuate(dataCentre string, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changes = append(s.changes, driver.Evacuation{DataCentre: dataCentre, Revision: s.revision, Ended: ended})
}

// ReadSettings implements driver.Store.
func (s *evacuationStore) ReadSettings(ctx context.Context) (driver.Settings, error) {
	read, err := s.fakeStore.ReadSettings(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	var state driver.Evacuations
	for _, c := range s.changes {
		state = state.With(c)
	}
	read.EvacuatedDataCentres = state.DataCentres
	return read, err
}

// WatchSettings implements driver.Store.
func (s *evacuationStore) WatchSettings(ctx context.Context, after uint64, maxWait time.Duration) (driver.SettingsChange, error) {
	c, err := s.fakeStore.WatchSettings(ctx, after, maxWait)
	c.Settings = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.changes {
		if x.Revision > after {
			c.Evacuations = append(c.Evacuations, x)
		}
	}
	return c, err
}

// expectEvacuated checks that exactly these data centres are evacuated.
func expectEvacuated(t *testing.T, d *directory.Directory, when string, want ...string) {
	t.Helper()
	if got := d.Evacuations().DataCentres; len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
		t.Errorf("%s %v are evacuated, want %v", when, got, want)
	}
}

func TestEvacuationsFollowStore(t *testing.T) {
	s := &evacuationStore{fakeStore: fakeStore{version: 1, revision: 5}}
	s.evacuate("b", false)
	withFollowing(t, s, func(d *directory.Directory) {
		time.Sleep(time.Second)
		expectEvacuated(t, d, "after the start", "b")
		s.evacuate("a", false)
		time.Sleep(time.Second)
		expectEvacuated(t, d, "a second after a change", "a", "b")
		s.set(func() { s.down = true })
		s.evacuate("b", true)
		time.Sleep(time.Minute)
		expectEvacuated(t, d, "while the store is unavailable", "a", "b")
		s.set(func() { s.down, s.settingsHistoryGone = false, true })
		time.Sleep(3 * time.Second)
		expectEvacuated(t, d, "after the store recovered without its history", "a")
	})
}

// TestOlderEvacuationsAreIgnored applies evacuations of two peers out of order.
func TestOlderEvacuationsAreIgnored(t *testing.T) {
	calls := [][]string{}
	d := directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func(all []string) { calls = append(calls, all) })
	for _, e := range []driver.Evacuations{
		{Revision: 7, DataCentres: []string{"a"}},
		{Revision: 6},
		{Revision: 8, DataCentres: []string{"a"}},
		{Revision: 9},
		{Revision: 8, DataCentres: []string{"a"}},
	} {
		d.ApplyEvacuations(e, "peer")
	}
	expectEvacuated(t, d, "at the end")
	if d.Evacuations().Revision != 9 || len(calls) != 2 {
		t.Errorf("at revision %d, onEvacuations calls %v", d.Evacuations().Revision, calls)
	}
}

// TestEvacuationWatchStartsAtKnownRevision guards against a missed evacuation. A peer reports
// settings that were the newest at a later revision than the evacuations known here.
func TestEvacuationWatchStartsAtKnownRevision(t *testing.T) {
	s := &evacuationStore{fakeStore: fakeStore{version: 1, revision: 5}}
	synctest.Test(t, func(t *testing.T) {
		d := empty()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		d.SetRole(directory.Reader)
		go d.Follow(ctx, s)
		time.Sleep(200 * time.Millisecond)
		s.evacuate("a", false)
		d.ConfirmRevision(1, 1000)
		time.Sleep(5 * time.Second)
		expectEvacuated(t, d, "with settings known at a later revision", "a")
		cancel()
		synctest.Wait()
	})
}
