package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/storeerr"

	"github.com/fxamacker/cbor/v2"
)

// doubtfulRecords are records whose next update takes effect, at once or later, without a response.
type doubtfulRecords struct {
	driver.Records

	mu       sync.Mutex
	doubtful bool           // the next update gets no response
	late     bool           // and takes effect only when pending is applied
	pending  *driver.Update // of which no response was given
	records  map[string]driver.Record
	revision uint64
}

func (d *doubtfulRecords) Read(_ context.Context, key string) (driver.Record, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.records[key]
	if !ok {
		return driver.Record{}, storeerr.ErrNotFound
	}
	return r, nil
}

func (d *doubtfulRecords) Update(_ context.Context, u driver.Update) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.doubtful {
		d.doubtful = false
		if d.late {
			d.pending = &u
			return 0, context.DeadlineExceeded
		}
		_, _ = d.apply(u) // the caller gets no response
		return 0, context.DeadlineExceeded
	}
	return d.apply(u)
}

// apply applies an update if its conditions hold. d.mu is held.
func (d *doubtfulRecords) apply(u driver.Update) (uint64, error) {
	for _, c := range u.Conditions {
		if d.records[c.Key].Revision != c.Revision {
			return 0, driver.ErrConflict
		}
	}
	d.revision++
	for _, r := range u.Put {
		r.Revision = d.revision
		d.records[r.Key] = r
	}
	for _, key := range u.Remove {
		delete(d.records, key)
	}
	return d.revision, nil
}

// applyPending lets the late update take effect.
func (d *doubtfulRecords) applyPending() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending != nil {
		_, _ = d.apply(*d.pending) // nobody waits for the response
	}
}

func (d *doubtfulRecords) heldUntil(k quarantine.Key) (time.Time, bool) {
	found, err := d.Read(context.Background(), holdKey(k))
	var r holdRecord
	if err != nil || cbor.Unmarshal(found.Value, &r) != nil {
		return time.Time{}, false
	}
	return r.until(), true
}

// awaitFreed waits until the record says that the hold has ended.
func (d *doubtfulRecords) awaitFreed(t *testing.T, k quarantine.Key) {
	t.Helper()
	const timeout = 20 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if until, ok := d.heldUntil(k); ok && !until.After(time.Now()) {
			return
		}
	}
	t.Fatal("the content stays held")
}

// TestUnconfirmedClaimIsFreed guards against a content that is held for a trial that nobody runs.
func TestUnconfirmedClaimIsFreed(t *testing.T) {
	for name, late := range map[string]bool{"took effect": false, "takes effect later": true} {
		t.Run(name, func(t *testing.T) {
			k := quarantine.KeyOf("team", "POST", "/chat", []byte("body"))
			records := &doubtfulRecords{doubtful: true, late: late, records: map[string]driver.Record{}}
			entry := func(owner uint64) *Gateway {
				g := New(Options{Driver: fieldsOnlyDriver{}, Owner: owner, Records: records})
				g.suspects.update(func(t *quarantine.Table) { t.Hold(k, 3, 0, steady.Now()) })
				return g
			}
			first, second := entry(1), entry(2)
			if first.beginTrial(t.Context(), trial{key: k}, time.Minute) {
				t.Fatal("a trial runs whose claim was not confirmed")
			}
			records.awaitFreed(t, k)
			records.applyPending()
			if !second.beginTrial(t.Context(), trial{key: k}, time.Minute) {
				t.Error("another entry gets no trial")
			}
		})
	}
}

// TestClaimTimeFollowsRequest guards against a claim that is given up early, or that outlasts its caller.
func TestClaimTimeFollowsRequest(t *testing.T) {
	for left, want := range map[time.Duration]time.Duration{
		time.Second: minClaimTime, 4 * time.Second: 500 * time.Millisecond, 15 * time.Second: maxClaimTime,
	} {
		if got := claimTime(left); got != want {
			t.Errorf("%v left: %v, want %v", left, got, want)
		}
	}
}
