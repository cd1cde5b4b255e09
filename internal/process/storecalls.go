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
