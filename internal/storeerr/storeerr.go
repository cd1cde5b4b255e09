// Package storeerr holds the errors of a platform's store, the same on both ways of
// serving. Drivers wrap them; callers tell them apart with errors.Is.
package storeerr

import "errors"

var (
	// ErrNotFound means that the store answered and holds no such value.
	ErrNotFound = errors.New("store: no such value")
	// ErrUnavailable means that the store did not answer or refused the call. A
	// write that failed with it had no effect.
	ErrUnavailable = errors.New("store: not available")
)
