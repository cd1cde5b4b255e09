// Package recent keeps the last few values of a kind, for state dumps.
package recent

// Ring holds the last values that were added, up to its size. Create it with Of;
// it is not safe for concurrent use.
type Ring[T any] struct {
	size   int
	values []T
	next   int // index of the oldest value, once the ring is full
}

// Of returns an empty ring of a size.
func Of[T any](size int) Ring[T] { return Ring[T]{size: size} }

// Add keeps a value. A full ring drops its oldest one.
func (r *Ring[T]) Add(v T) {
	if len(r.values) < r.size {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % r.size
}

// Values returns a copy of the values, in no fixed order; nil if there are none.
func (r *Ring[T]) Values() []T { return append([]T(nil), r.values...) }
