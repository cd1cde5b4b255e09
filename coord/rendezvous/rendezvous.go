// Package rendezvous ranks members for a key, so that all processes with the same member list
// compute the same order without communication (rendezvous hashing, Thaler and Ravishankar, 1998).
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of a name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Rank returns the rank of a member for a key, both as hashes.
func Rank(key, member uint64) uint64 { return mix(key ^ member) }

// mix distributes the bits of a value (the finaliser of splitmix64, Steele et al., OOPSLA 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
