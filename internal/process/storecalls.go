package process

import (
	"context"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"

	"github.com/uber-go/tally/v4"
)

// countedStore counts the calls of the platform's store, each of which has its price. A
// list of many pages counts as one.
type countedStore struct {
	store driver.Store
	scope tally.Scope
}

func (s countedStore) count(call string) {
	s.scope.Tagged(map[string]string{"call": call}).Counter("store_calls").Inc(1)
}

// ReadSettings implements driver.Store.
func (s countedStore) ReadSettings(ctx context.Context) (driver.Settings, error) {
	s.count("read_settings")
	return s.store.ReadSettings(ctx)
}

// ReadEndpoints implements driver.Store.
func (s countedStore) ReadEndpoints(ctx context.Context) (driver.Endpoints, error) {
	s.count("read_endpoints")
	return s.store.ReadEndpoints(ctx)
}

// WaitSettings implements driver.Store.
func (s countedStore) WaitSettings(ctx context.Context, after uint64, maxWait time.Duration) (driver.SettingsChange, error) {
	s.count("wait_settings")
	return s.store.WaitSettings(ctx, after, maxWait)
}

// WaitEndpoints implements driver.Store.
func (s countedStore) WaitEndpoints(ctx context.Context, after uint64, maxWait time.Duration) (driver.Change, error) {
	s.count("wait_endpoints")
	return s.store.WaitEndpoints(ctx, after, maxWait)
}

// countedRecords counts the calls for the system's own records.
type countedRecords struct {
	records driver.Records
	scope   tally.Scope
}

func (r countedRecords) count(call string) {
	r.scope.Tagged(map[string]string{"call": call}).Counter("store_calls").Inc(1)
}

// Read implements driver.Records.
func (r countedRecords) Read(ctx context.Context, key string) (driver.Record, error) {
	r.count("read_record")
	return r.records.Read(ctx, key)
}

// List implements driver.Records.
func (r countedRecords) List(ctx context.Context, prefix string) ([]driver.Record, error) {
	r.count("list_records")
	return r.records.List(ctx, prefix)
}

// Update implements driver.Records.
func (r countedRecords) Update(ctx context.Context, u driver.Update) (uint64, error) {
	r.count("update_records")
	return r.records.Update(ctx, u)
}

// Grant implements driver.Records.
func (r countedRecords) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	r.count("grant_lease")
	return r.records.Grant(ctx, ttl)
}

// Renew implements driver.Records.
func (r countedRecords) Renew(ctx context.Context, lease string) error {
	r.count("renew_lease")
	return r.records.Renew(ctx, lease)
}

// End implements driver.Records.
func (r countedRecords) End(ctx context.Context, lease string) error {
	r.count("end_lease")
	return r.records.End(ctx, lease)
}
