package directory_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
)

// fakeStore is a store whose responses the test sets.
type fakeStore struct {
	mu                   sync.Mutex
	version              uint64
	revision             uint64
	list                 []placement.Endpoint
	down                 bool
	endpointsHistoryGone bool // the next watch of endpoints fails with ErrCompacted
	settingsHistoryGone  bool // the next watch of settings fails with ErrCompacted
	watchCalls           int
	watchedAfter         uint64 // revision after which the last watch of endpoints started
	onRead               func() // called once after the first read
}

var errDown = errors.New("down")

func (s *fakeStore) ReadSettings(context.Context) (driver.Settings, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.afterRead()
	if s.down {
		return driver.Settings{}, errDown
	}
	return driver.Settings{Version: s.version, Tree: tree(), Revision: s.revision}, nil
}

func (s *fakeStore) ReadEndpoints(context.Context) (driver.Endpoints, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.afterRead()
	if s.down {
		return driver.Endpoints{}, errDown
	}
	return driver.Endpoints{Revision: s.revision, List: s.list}, nil
}

func (s *fakeStore) WatchEndpoints(ctx context.Context, after uint64, maxWait time.Duration) (driver.Change, error) {
	s.set(func() { s.watchedAfter = after })
	revision, err := s.wait(ctx, after, maxWait, &s.endpointsHistoryGone)
	if err != nil || revision == after {
		return driver.Change{Revision: after}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return driver.Change{Revision: revision, Changed: s.list}, nil
}

func (s *fakeStore) WatchSettings(ctx context.Context, after uint64, maxWait time.Duration) (driver.SettingsChange, error) {
	revision, err := s.wait(ctx, after, maxWait, &s.settingsHistoryGone)
	if err != nil || revision == after {
		return driver.SettingsChange{Revision: after}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := driver.Settings{Version: s.version, Tree: tree(), Revision: revision}
	return driver.SettingsChange{Revision: revision, Settings: &changed}, nil
}

// wait returns the store's revision as soon as it is after the given one. It returns the
// given one after maxWait. If historyGone is set, wait clears it and returns ErrCompacted.
func (s *fakeStore) wait(ctx context.Context, after uint64, maxWait time.Duration, historyGone *bool) (uint64, error) {
	s.set(func() { s.watchCalls++ })
	end := time.Now().Add(maxWait)
	for time.Now().Before(end) {
		s.mu.Lock()
		down, gone, revision := s.down, *historyGone, s.revision
		*historyGone = false
		s.mu.Unlock()
		switch {
		case down:
			return 0, errDown
		case gone:
			return 0, driver.ErrCompacted
		case revision > after:
			return revision, nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return after, nil
}

func (s *fakeStore) watchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchCalls
}

// afterRead calls onRead after the first read. s.mu is held.
func (s *fakeStore) afterRead() {
	if s.onRead != nil {
		s.onRead()
		s.onRead = nil
	}
}

func (s *fakeStore) lastWatchedAfter() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchedAfter
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func tree() settings.Tree { return settings.NewTree(map[string]settings.Node{"": {}}) }

func empty() *directory.Directory {
	return directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
}

// withFollowing runs the test in virtual time with a directory that follows a store.
func withFollowing(t *testing.T, s driver.Store, test func(d *directory.Directory)) {
	synctest.Test(t, func(t *testing.T) {
		d := empty()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Follow(ctx, s)
		}()
		test(d)
		cancel()
		<-done
	})
}

func expectVersions(t *testing.T, d *directory.Directory, version, revision uint64) {
	t.Helper()
	v, r := d.Versions()
	if v != version || r != revision {
		t.Errorf("version %d, revision %d; want %d, %d", v, r, version, revision)
	}
}

func TestChangesAreAppliedAtOnce(t *testing.T) {
	s := &fakeStore{version: 1, revision: 3}
	withFollowing(t, s, func(d *directory.Directory) {
		time.Sleep(100 * time.Millisecond)
		expectVersions(t, d, 1, 3)
		s.set(func() { s.version, s.revision = 2, 4 })
		time.Sleep(100 * time.Millisecond)
		expectVersions(t, d, 2, 4)
	})
}

func TestFirstSettingsAfterStart(t *testing.T) {
	s := &fakeStore{revision: 3}
	withFollowing(t, s, func(d *directory.Directory) {
		time.Sleep(time.Second)
		if d.Ready() {
			t.Error("Known reports true before the first settings")
		}
		s.set(func() { s.version, s.revision = 1, 4 })
		time.Sleep(100 * time.Millisecond)
		expectVersions(t, d, 1, 4)
	})
}

func TestOutageAndHistoryGone(t *testing.T) {
	s := &fakeStore{version: 1, revision: 3}
	withFollowing(t, s, func(d *directory.Directory) {
		time.Sleep(100 * time.Millisecond)
		s.set(func() { s.down = true })
		time.Sleep(30 * time.Second)
		if age := time.Since(d.Confirmed()); age < 20*time.Second {
			t.Errorf("settings confirmed %v ago during an outage", age)
		}
		s.set(func() {
			s.down, s.endpointsHistoryGone, s.settingsHistoryGone, s.version, s.revision = false, true, true, 7, 90
		})
		time.Sleep(2 * time.Second)
		expectVersions(t, d, 7, 90)
	})
}

func TestChangeBetweenReads(t *testing.T) {
	s := &fakeStore{version: 1, revision: 3}
	s.onRead = func() { s.version, s.revision = 2, 4 }
	withFollowing(t, s, func(d *directory.Directory) {
		time.Sleep(5 * time.Second)
		expectVersions(t, d, 2, 4)
	})
}

func TestFollowerDoesNotCallStore(t *testing.T) {
	s := &fakeStore{version: 1, revision: 3}
	withFollowing(t, s, func(d *directory.Directory) {
		time.Sleep(100 * time.Millisecond)
		d.SetRole(directory.Follower)
		time.Sleep(time.Second) // the current watch ends
		calls := s.watchCount()
		time.Sleep(time.Minute)
		if s.watchCount() != calls {
			t.Errorf("a follower made %d calls", s.watchCount()-calls)
		}
		d.ReplaceEndpointsFromPeer(driver.Endpoints{Revision: 8, List: endpointsOf("a")}, nil)
		s.set(func() { s.version, s.revision = 2, 9 })
		time.Sleep(time.Second)
		expectVersions(t, d, 1, 8)
		d.SetRole(directory.Standby)
		time.Sleep(100 * time.Millisecond)
		expectVersions(t, d, 2, 9)
		if s.watchCount() == calls || s.lastWatchedAfter() < 8 {
			t.Errorf("%d calls, last watch after revision %d", s.watchCount()-calls, s.lastWatchedAfter())
		}
		d.SetRole(directory.Reader)
		calls = s.watchCount()
		time.Sleep(time.Minute)
		if rate := s.watchCount() - calls; rate < 60 {
			t.Errorf("%d calls a minute as a reader", rate)
		}
	})
}

// TestStarterReadsOnce checks that a starter reads the settings and the endpoints once and
// watches neither.
func TestStarterReadsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 1, revision: 3}
		d := empty()
		d.SetRole(directory.Starter)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Follow(ctx, s)
		time.Sleep(time.Minute)
		expectVersions(t, d, 1, 3)
		if s.watchCount() != 0 {
			t.Errorf("a starter made %d watch calls", s.watchCount())
		}
		if d.ReadsStore() {
			t.Error("ReadsStore reports true for a starter")
		}
	})
}

func TestStandbyRetriesLessOftenInOutage(t *testing.T) {
	s := &fakeStore{version: 1, revision: 3}
	withFollowing(t, s, func(d *directory.Directory) {
		time.Sleep(100 * time.Millisecond)
		calls := func(r directory.Role) int {
			d.SetRole(r)
			s.set(func() { s.down = true })
			time.Sleep(5 * time.Second)
			before := s.watchCount()
			time.Sleep(time.Minute)
			n := s.watchCount() - before
			s.set(func() { s.down = false })
			time.Sleep(5 * time.Second)
			return n
		}
		reader, standby := calls(directory.Reader), calls(directory.Standby)
		if reader < 80 || standby > reader/2 {
			t.Errorf("%d calls a minute as a reader, %d as a standby", reader, standby)
		}
	})
}

func TestOlderStateIsIgnored(t *testing.T) {
	d := empty()
	d.ApplySettings(5, tree(), "test")
	d.ApplySettings(4, tree(), "test")
	d.ReplaceEndpoints(driver.Endpoints{Revision: 8, List: []placement.Endpoint{{ID: "new"}}}, "test")
	d.ReplaceEndpoints(driver.Endpoints{Revision: 7, List: []placement.Endpoint{{ID: "old"}}}, "test")
	d.Apply(driver.Change{Revision: 8, Gone: []string{"new"}})
	expectVersions(t, d, 5, 8)
	if list := d.Endpoints().List; len(list) != 1 || list[0].ID != "new" {
		t.Errorf("an older list replaced the current one: %v", list)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	d := empty()
	d.ApplySettings(1, tree(), "test")
	d.ApplySettings(2, settings.NewTree(map[string]settings.Node{"a/b": {}}), "test") // no parent
	expectVersions(t, d, 1, 0)
}

func TestSince(t *testing.T) {
	d := empty()
	if _, ok := d.EndpointChangesSince(0); ok {
		t.Error("EndpointChangesSince returns changes before the first list")
	}
	d.ReplaceEndpoints(driver.Endpoints{Revision: 5, List: endpointsOf("a", "b")}, "test")
	if _, ok := d.EndpointChangesSince(4); ok {
		t.Error("EndpointChangesSince returns changes before the revision of the list")
	}
	d.Apply(driver.Change{Revision: 6, Changed: endpointsOf("c"), Gone: []string{"a"}})
	d.Apply(driver.Change{Revision: 7}) // no change of endpoints
	d.Apply(driver.Change{Revision: 8, Changed: endpointsOf("a"), Gone: []string{"c"}})
	c, ok := d.EndpointChangesSince(5)
	if !ok || c.Revision != 8 || len(c.Changed) != 1 || c.Changed[0].ID != "a" || len(c.Gone) != 1 || c.Gone[0] != "c" {
		t.Errorf("got %+v, %v", c, ok)
	}
	if c, ok = d.EndpointChangesSince(6); !ok || len(c.Gone) != 1 {
		t.Errorf("got %+v, %v", c, ok)
	}
	for n := range uint64(300) {
		d.Apply(driver.Change{Revision: 10 + n, Changed: endpointsOf("d")})
	}
	if _, ok = d.EndpointChangesSince(5); ok {
		t.Error("the endpoint history has no bound")
	}
	if c, ok = d.EndpointChangesSince(200); !ok || len(c.Changed) != 1 {
		t.Errorf("got %+v, %v", c, ok)
	}
}
