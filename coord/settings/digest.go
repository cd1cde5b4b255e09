package settings

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a number for the comparison of trees: trees with the
// same nodes have the same digest. It is the sum of the hashes of the nodes, so that
// DigestAfter needs only the differences.
func (t Tree) Digest() uint64 {
	var sum uint64
	for p, n := range t.nodes {
		sum += digestOf(p, n)
	}
	return sum
}

// DigestAfter returns the digest of a tree with digest before after the differences are
// applied.
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

// digestOf returns the hash of a node and its path. The hash of a node that can't be encoded as
// JSON covers its path only; nodes that were parsed from JSON can always be encoded.
func digestOf(path string, n Node) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(path) // a hash returns no errors
	_, _ = h.Write([]byte{0})  // no path contains a zero byte
	if data, err := json.Marshal(n); err == nil {
		_, _ = h.Write(data) // a hash returns no errors
	}
	return h.Sum64()
}
