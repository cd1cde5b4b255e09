package directory_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
)

// routes returns a tree with routes of these numbers, all with one priority.
func routes(priority int, numbers ...int) settings.Tree {
	nodes := map[string]settings.Node{"": {}, "routes": {}}
	for _, n := range numbers {
		nodes[fmt.Sprint("routes/r", n)] = settings.Node{Kind: settings.Class, Set: settings.Fields{
			Match:          &[]settings.Match{{Host: "a.example", Prefix: fmt.Sprintf("/%d/", n)}},
			Split:          &[]settings.Share{{Service: "pool", Weight: 1}},
			EnginePriority: &priority,
		}}
	}
	return settings.NewTree(nodes)
}

// TestSettingsChangesBetweenDirectories applies the changes of one directory to another one.
func TestSettingsChangesBetweenDirectories(t *testing.T) {
	a, b := empty(), empty()
	for _, d := range []*directory.Directory{a, b} {
		d.ApplySettings(3, routes(0, 1, 2, 3), "test")
	}
	a.ApplySettings(5, routes(0, 2, 3, 4), "test")
	a.ApplySettings(9, routes(1, 3, 4, 5), "test")
	now, changes, ok := a.SettingsSince(3)
	if !ok || now.Version != 9 || len(changes) != 5 {
		t.Fatalf("version %d, %d changes, %v", now.Version, len(changes), ok)
	}
	if err := b.ApplySettingsChanges(5, 9, changes, now.Digest, "test"); !errors.Is(err, directory.ErrBaseMismatch) {
		t.Errorf("changes based on another version: %v", err)
	}
	if err := b.ApplySettingsChanges(3, 9, changes[1:], now.Digest, "test"); !errors.Is(err, directory.ErrDigestMismatch) {
		t.Errorf("with a missing change: %v", err)
	}
	expectVersions(t, b, 3, 0)
	if err := b.ApplySettingsChanges(3, 9, changes, now.Digest, "test"); err != nil {
		t.Fatal(err)
	}
	got := b.Settings()
	if !reflect.DeepEqual(got.Tree, a.Settings().Tree) || !reflect.DeepEqual(got.Snapshot, a.Settings().Snapshot) || got.Digest != now.Digest {
		t.Errorf("got %+v, want %+v", got, a.Settings())
	}
	if _, _, ok := a.SettingsSince(4); ok {
		t.Error("SettingsSince returns changes since a version that was never active")
	}
}

// TestSettingsHistoryIsBounded activates more versions than the history keeps.
func TestSettingsHistoryIsBounded(t *testing.T) {
	d := empty()
	for v := range uint64(100) {
		d.ApplySettings(v+1, routes(int(v), 1), "test")
	}
	if _, _, ok := d.SettingsSince(1); ok {
		t.Error("the settings history has no bound")
	}
	if _, changes, ok := d.SettingsSince(90); !ok || len(changes) != 1 {
		t.Errorf("%d changes, %v", len(changes), ok)
	}
}

// TestRequestsDoNotWaitForNewSettings blocks the activation of a version. The active version
// and the endpoint list stay available in the meantime.
func TestRequestsDoNotWaitForNewSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		d := directory.New(func(f directory.ActiveSettings) {
			if f.Version == 2 {
				<-release
			}
		}, func([]placement.Endpoint) {}, func([]string) {})
		d.ApplySettings(1, tree(), "test")
		go d.ApplySettings(2, routes(0, 1), "test")
		synctest.Wait()
		d.ReplaceEndpoints(driver.Endpoints{Revision: 7, List: endpointsOf("a")}, "test")
		expectVersions(t, d, 1, 7)
		if !d.Ready() {
			t.Error("Ready reports false while a version is activated")
		}
		close(release)
		synctest.Wait()
		expectVersions(t, d, 2, 7)
	})
}

// TestEndpointsDoNotWaitForSettings changes an endpoint while settings are being transferred
// from the store over a slow link.
func TestEndpointsDoNotWaitForSettings(t *testing.T) {
	s := &fakeStore{version: 1, revision: 3, list: endpointsOf("a")}
	slow := &slowSettingsStore{fakeStore: s, delay: time.Minute}
	withFollowing(t, slow, func(d *directory.Directory) {
		time.Sleep(time.Second)
		s.set(func() { s.version, s.revision, s.list = 2, 4, endpointsOf("b") })
		time.Sleep(100 * time.Millisecond)
		expectVersions(t, d, 1, 4)
		time.Sleep(2 * time.Minute)
		expectVersions(t, d, 2, 4)
	})
}

// slowSettingsStore is a fakeStore whose changed settings arrive after a delay.
type slowSettingsStore struct {
	*fakeStore
	delay time.Duration
}

func (s *slowSettingsStore) WatchSettings(ctx context.Context, after uint64, maxWait time.Duration) (driver.SettingsChange, error) {
	c, err := s.fakeStore.WatchSettings(ctx, after, maxWait)
	if err == nil && c.Settings != nil {
		time.Sleep(s.delay)
	}
	return c, err
}

// burstStore is a store that has ten new versions at each response.
type burstStore struct {
	fakeStore
	reads, watches int
	lastVersion    uint64
}

func (s *burstStore) next() driver.Settings {
	s.version = min(s.version+10, s.lastVersion)
	return driver.Settings{Version: s.version, Tree: tree(), Revision: s.version}
}

func (s *burstStore) ReadSettings(context.Context) (driver.Settings, error) {
	time.Sleep(time.Second)
	s.reads++
	return s.next(), nil
}

// WatchSettings takes a second for each version that it transfers.
func (s *burstStore) WatchSettings(_ context.Context, after uint64, maxWait time.Duration) (driver.SettingsChange, error) {
	s.watches++
	if s.version == s.lastVersion {
		time.Sleep(maxWait)
		return driver.SettingsChange{Revision: after}, nil
	}
	now := s.next()
	time.Sleep(time.Duration(now.Version-after) * time.Second)
	return driver.SettingsChange{Revision: now.Revision, Settings: &now, Superseded: int(now.Version-after) - 1}, nil
}

// TestVersionsInQuickSuccession checks that not every version is read if versions arrive
// faster than they can be read. Only the newest one is needed.
func TestVersionsInQuickSuccession(t *testing.T) {
	s := &burstStore{lastVersion: 200}
	withFollowing(t, s, func(d *directory.Directory) {
		time.Sleep(40 * time.Second)
		expectVersions(t, d, 200, 0)
		if s.reads > 25 {
			t.Errorf("%d reads", s.reads)
		}
	})
}

// TestInvalidSettingsAreReadOnce checks that a version that can't be compiled is not read
// again and again.
func TestInvalidSettingsAreReadOnce(t *testing.T) {
	s := &invalidSettingsStore{}
	withFollowing(t, s, func(d *directory.Directory) {
		time.Sleep(time.Minute)
		expectVersions(t, d, 0, 0)
		if s.reads > 2 {
			t.Errorf("read %d times", s.reads)
		}
	})
}

// invalidSettingsStore is a store whose settings lack a parent node.
type invalidSettingsStore struct {
	fakeStore
	reads int
}

func (s *invalidSettingsStore) ReadSettings(context.Context) (driver.Settings, error) {
	s.reads++
	return driver.Settings{Version: 7, Revision: 7, Tree: settings.NewTree(map[string]settings.Node{"a/b": {}})}, nil
}

// TestConfirmedRevision checks the revision after which the settings are watched. It must not
// be one at which a newer version than the active one was the newest.
func TestConfirmedRevision(t *testing.T) {
	d := empty()
	d.ApplySettings(3, tree(), "test")
	d.ConfirmRevision(3, 8)
	d.ConfirmRevision(4, 12)
	if version, revision := d.ConfirmedRevision(); version != 3 || revision != 8 {
		t.Errorf("version %d, revision %d", version, revision)
	}
	d.ApplySettings(5, tree(), "test")
	d.ConfirmRevision(4, 12)
	if _, revision := d.ConfirmedRevision(); revision != 12 {
		t.Errorf("revision %d", revision)
	}
}

// TestSettingsLag checks how far the settings lag behind those of the peers.
func TestSettingsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := empty()
		d.ApplySettings(3, tree(), "test")
		d.SettingsAnnounced(3)
		if b := d.SettingsLag(); b != (directory.SettingsLag{}) {
			t.Errorf("got %+v", b)
		}
		d.SettingsAnnounced(5)
		time.Sleep(time.Second)
		d.SettingsAnnounced(7)
		d.SetOutstandingBytes(900)
		if b := d.SettingsLag(); b != (directory.SettingsLag{Newest: 7, Duration: time.Second, OutstandingBytes: 900}) {
			t.Errorf("got %+v", b)
		}
		d.ApplySettings(7, tree(), "test")
		if b := d.SettingsLag(); b != (directory.SettingsLag{}) {
			t.Errorf("got %+v", b)
		}
	})
}
