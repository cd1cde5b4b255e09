// Package kv describes what the platform gives: a key-value service and
// a list of instances. Drivers for real ones register themselves.
package kv

import (
	"context"
	"errors"

	"foxcross.dev/foxcross/internal/kernel"
)

// ErrConflict means that the value has changed since the revision that a swap
// names. The other errors are those of package storeerr. Any other error of a swap
// means that its outcome is not known.
var ErrConflict = errors.New("kv: the value has changed")

// Value is a stored value and its revision, which rises with each change.
type Value struct {
	Data     []byte
	Revision uint64
}

// KeyValue is the platform's key-value service.
type KeyValue interface {
	// Get returns storeerr.ErrNotFound where there is no value.
	Get(ctx context.Context, key string) (Value, error)
	// Swap stores data if the value still has the revision, 0 for no value. It
	// returns ErrConflict if not; storeerr.ErrUnavailable only if nothing was stored.
	Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error)
	// Watch waits until the value has a later revision.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
}

// Role is what an instance runs.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// Member is one instance of the platform's list. The list lags.
type Member struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	Address    string `json:"address"` // of the agent's QUIC listener
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// Members is the platform's list of instances.
type Members interface {
	Members(ctx context.Context) ([]Member, error)
}

// Platform is both.
type Platform interface {
	KeyValue
	Members
}

// Factory makes a platform client for an address.
type Factory func(address string) (Platform, error)

// Drivers are the registered platform drivers.
var Drivers kernel.Registry[Factory]
