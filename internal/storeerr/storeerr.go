// Package storeerr defines the errors of a platform's store, for both the direct and the
// relay packages. Drivers wrap them; callers check for them with errors.Is.
package storeerr

import "errors"

var (
	// ErrNotFound means that the store responded and has no such value.
	ErrNotFound = errors.New("store: no such value")
	// ErrUnavailable means that the store did not respond or refused the call. A write
	// that failed with it had no effect.
	ErrUnavailable = errors.New("store: not available")
)
