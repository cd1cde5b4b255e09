package settings

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a number by which holders of trees compare them: trees that hold the
// same nodes have the same one. It is the sum of its nodes' hashes, so that
// DigestAfter needs only what changed.
func (t Tree) Digest() uint64 {
	var sum uint64
	for p, n := range t.nodes {
		sum += digestOf(p, n)
	}
	return sum
}

// DigestAfter returns the digest of a tree of the digest before, after the
// differences.
func DigestAfter(before uint64, all []Difference) uint64 {
	for n, d := range all {
		yield(n)
		if d.Before != nil {
			before -= digestOf(d.Path, *d.Before)
		}
		if d.After != nil {
			before += digestOf(d.Path, *d.After)
		}
	}
	return before
}

// digestOf hashes a node with its path. A node that has no form as JSON counts by its
// path alone; Compile's callers have read theirs from such a form.
func digestOf(path string, n Node) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(path) // a hash takes all
	_, _ = h.Write([]byte{0})  // no path holds it
	if data, err := json.Marshal(n); err == nil {
		_, _ = h.Write(data) // a hash takes all
	}
	return h.Sum64()
}
