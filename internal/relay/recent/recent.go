// Package recent keeps the most recent values of a type for state dumps.
package recent

// Ring holds the most recently added values, up to its size. Create it with New.
// It is not safe for concurrent use.
type Ring[T any] struct {
	size   int
	values []T
	next   int // index of the oldest value, once the ring is full
}

// New returns an empty ring with the given size.
func New[T any](size int) Ring[T] { return Ring[T]{size: size} }

// Add adds a value. A full ring drops its oldest value.
func (r *Ring[T]) Add(v T) {
	if len(r.values) < r.size {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % r.size
}

// Values returns a copy of the values in no particular order, nil if there are none.
func (r *Ring[T]) Values() []T { return append([]T(nil), r.values...) }
