// Package affinity records which endpoint last received each prompt prefix, so that a prompt with
// the same prefix can use that endpoint's cache.
package affinity

import (
	"container/list"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the size of a block, about 256 tokens.
	blockBytes = 1024
	// maxBlocks is the most blocks of a prompt that are hashed.
	maxBlocks = 32
	// defaultBound is the most hashes in a Table without a Bound.
	defaultBound = 8192
)

// Chain returns the chain hashes of the prompt's complete blocks. Each hash covers all blocks up to
// and including its own.
func Chain(prompt []byte) []uint64 {
	count := min(len(prompt)/blockBytes, maxBlocks)
	chain := make([]uint64, 0, count)
	var previous [8]byte
	for b := range count {
		d := xxhash.New()
		_, _ = d.Write(previous[:])                             // xxhash returns no errors
		_, _ = d.Write(prompt[b*blockBytes : (b+1)*blockBytes]) // as above
		sum := d.Sum64()
		binary.LittleEndian.PutUint64(previous[:], sum)
		chain = append(chain, sum)
	}
	return chain
}

// Table maps hashes to holders and evicts the least recently used hashes. The zero
// value holds up to defaultBound hashes.
type Table struct {
	Bound int // most hashes, defaultBound if 0 or less

	entries map[uint64]*list.Element
	order   list.List
}

type entry struct {
	hash   uint64
	holder string
}

// Put records that the holder has received the prompt of the chain.
func (t *Table) Put(chain []uint64, holder string) {
	if t.entries == nil {
		t.entries = map[uint64]*list.Element{}
	}
	for _, h := range slices.Backward(chain) { // so that the first block is evicted last
		if e, ok := t.entries[h]; ok {
			e.Value.(*entry).holder = holder
			t.order.MoveToFront(e)
			continue
		}
		t.entries[h] = t.order.PushFront(&entry{hash: h, holder: holder})
		t.evict()
	}
}

func (t *Table) evict() {
	bound := t.Bound
	if bound <= 0 {
		bound = defaultBound
	}
	if t.order.Len() <= bound {
		return
	}
	oldest := t.order.Back()
	delete(t.entries, oldest.Value.(*entry).hash)
	t.order.Remove(oldest)
}

// Longest returns, for each holder, how many leading blocks of the chain it has received.
func (t *Table) Longest(chain []uint64) map[string]int {
	if len(t.entries) == 0 {
		return nil
	}
	var longest map[string]int
	for n, h := range chain {
		e, ok := t.entries[h]
		if !ok {
			return longest
		}
		if longest == nil {
			longest = map[string]int{}
		}
		longest[e.Value.(*entry).holder] = n + 1
	}
	return longest
}

// BlockTokens is the approximate number of tokens of a block.
const BlockTokens = blockBytes / 4
