package process

import (
	"context"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"

	"github.com/uber-go/tally/v4"
)

// countingStore counts the calls to the platform's store, since each call has a price. A list
// of many pages counts as one call.
type countingStore struct {
	store driver.Store
	scope tally.Scope
}

func (s countingStore) count(call string) {
	s.scope.Tagged(map[string]string{"call": call}).Counter("store_calls").Inc(1)
}

// ReadSettings implements driver.Store.
func (s countingStore) ReadSettings(ctx context.Context) (driver.Settings, error) {
	s.count("read_settings")
	return s.store.ReadSettings(ctx)
}

// ReadEndpoints implements driver.Store.
func (s countingStore) ReadEndpoints(ctx context.Context) (driver.Endpoints, error) {
	s.count("read_endpoints")
	return s.store.ReadEndpoints(ctx)
}

// WatchSettings implements driver.Store.
func (s countingStore) WatchSettings(ctx context.Context, after uint64, maxWait time.Duration) (driver.SettingsChange, error) {
	s.count("wait_settings")
	return s.store.WatchSettings(ctx, after, maxWait)
}

// WatchEndpoints implements driver.Store.
func (s countingStore) WatchEndpoints(ctx context.Context, after uint64, maxWait time.Duration) (driver.Change, error) {
	s.count("wait_endpoints")
	return s.store.WatchEndpoints(ctx, after, maxWait)
}

// countingRecords counts the calls to the store for the system's own records.
type countingRecords struct {
	records driver.Records
	scope   tally.Scope
}

func (r countingRecords) count(call string) {
	r.scope.Tagged(map[string]string{"call": call}).Counter("store_calls").Inc(1)
}

// Read implements driver.Records.
func (r countingRecords) Read(ctx context.Context, key string) (driver.Record, error) {
	r.count("read_record")
	return r.records.Read(ctx, key)
}

// List implements driver.Records.
func (r countingRecords) List(ctx context.Context, prefix string) ([]driver.Record, error) {
	r.count("list_records")
	return r.records.List(ctx, prefix)
}

// Update implements driver.Records.
func (r countingRecords) Update(ctx context.Context, u driver.Update) (uint64, error) {
	r.count("update_records")
	return r.records.Update(ctx, u)
}

// Grant implements driver.Records.
func (r countingRecords) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	r.count("grant_lease")
	return r.records.Grant(ctx, ttl)
}

// Renew implements driver.Records.
func (r countingRecords) Renew(ctx context.Context, lease string) error {
	r.count("renew_lease")
	return r.records.Renew(ctx, lease)
}

// End implements driver.Records.
func (r countingRecords) End(ctx context.Context, lease string) error {
	r.count("end_lease")
	return r.records.End(ctx, lease)
}
