package affinity_test

import (
	"bytes"
	"fmt"

	"foxcross.dev/coord/affinity"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Table", func() {
	It("finds the longest known prefix", func() {
		prompt := bytes.Repeat([]byte("abcdefgh"), 1024)
		other := append(bytes.Clone(prompt[:4096]), bytes.Repeat([]byte("x"), 4096)...)
		var t affinity.Table
		t.Put(affinity.Chain(prompt), "a")
		Expect(t.Longest(affinity.Chain(other))).To(Equal(map[string]int{"a": 4}))
	})

	It("evicts hashes beyond its bound", func() {
		t := affinity.Table{Bound: 4}
		t.Put([]uint64{1, 2, 3, 4, 5}, "a")
		Expect(t.Longest([]uint64{5})).To(BeEmpty())
		Expect(t.Longest([]uint64{1, 2, 3, 4, 5})).To(Equal(map[string]int{"a": 4}))
	})
})

func ExampleChain() {
	prompt := bytes.Repeat([]byte("a"), 3000)
	fmt.Println(len(affinity.Chain(prompt)), len(affinity.Chain(prompt[:100])))
	// Output: 2 0
}
