// Package kv defines the services that the platform provides: a key-value store and a list
// of instances. Drivers register themselves.
package kv

import (
	"context"
	"errors"

	"foxcross.dev/foxcross/internal/kernel"
)

// ErrConflict means that the value has changed since the revision given to a swap. Other
// known errors are those of package storeerr. After any other error of a swap its outcome
// is unknown.
var ErrConflict = errors.New("kv: the value has changed")

// Value is a stored value and its revision, which increases with each change.
type Value struct {
	Data     []byte
	Revision uint64
}

// KeyValue is the platform's key-value service.
type KeyValue interface {
	// Get returns storeerr.ErrNotFound if there is no value.
	Get(ctx context.Context, key string) (Value, error)
	// Swap stores data if the value still has the revision; revision 0 stands for no value.
	// It returns ErrConflict if the revision differs, and storeerr.ErrUnavailable only if
	// nothing was stored.
	Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error)
	// Watch blocks until the value has a revision later than after.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
}

// Role is the kind of process that an instance runs.
type Role string

// Roles of instances.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// Member is an instance in the platform's list. The list may be out of date.
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

// Platform combines the services of a platform.
type Platform interface {
	KeyValue
	Members
}

// Factory creates a platform client for an address.
type Factory func(address string) (Platform, error)

// Drivers holds the registered platform drivers.
var Drivers kernel.Registry[Factory]
