package placement_test

import (
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// transferTable returns a table of n engines that transfer memory at 5 µs per token.
func transferTable(n int) *placement.Table {
	t := engineTable(n)
	t.SetServices([]placement.Service{{
		Name: "pool", MemoryTokens: 500_000, EventTokens: 6, InterEventTarget: 150 * time.Millisecond,
		TransferRate: memory.Rate{TokenBytes: 100_000, LinkMbps: 160_000},
	}})
	return t
}

var _ = Describe("Fetches", func() {
	// excludes e-0, which has computed the shared part
	exceptFirst := func(id string) bool { return id == "e-0" }
	chooseOther := func(t *placement.Table, now time.Time) placement.Choice {
		c, ok := t.Choose(now, longRequest(100, 2), exceptFirst, rand.New(rand.NewPCG(1, 2)))
		Expect(ok).To(BeTrue())
		return c
	}
	compute := func(t *placement.Table) time.Time {
		id := placement.AttemptID{Owner: other, Number: 1}
		t.Place(origin, id, "e-0", longRequest(100, 1), memory.Fetch{})
		t.FirstEvent(origin.Add(150*time.Millisecond), id)
		t.End(origin.Add(time.Second), id, placement.Succeeded)
		return origin.Add(2 * time.Second)
	}

	It("replace recomputing a part that another engine has computed", func() {
		t := transferTable(3)
		c := chooseOther(t, compute(t))
		Expect(c.Fetch.Source).To(Equal("e-0"))
		Expect(c.Fetch.Tokens).To(Equal(5_000))
		Expect(c.PrefillTokens).To(Equal(7_000))
		Expect(c.RecomputedTokens).To(BeZero())
	})

	It("start only after the source has computed the part", func() {
		t := transferTable(3)
		id := placement.AttemptID{Owner: other, Number: 1}
		t.Place(origin, id, "e-0", longRequest(100, 1), memory.Fetch{})
		Expect(chooseOther(t, origin.Add(10*time.Millisecond)).Fetch.Any()).To(BeFalse())
		t.FirstEvent(origin.Add(150*time.Millisecond), id)
		Expect(chooseOther(t, origin.Add(160*time.Millisecond)).Fetch.Source).To(Equal("e-0"))
	})

	It("transfer no part whose computation failed", func() {
		t := transferTable(3)
		id := placement.AttemptID{Owner: other, Number: 1}
		t.Place(origin, id, "e-0", longRequest(100, 1), memory.Fetch{})
		t.End(origin.Add(50*time.Millisecond), id, placement.Abandoned)
		Expect(chooseOther(t, origin.Add(60*time.Millisecond)).Fetch.Any()).To(BeFalse())
	})

	It("make the target a source", func() {
		t := transferTable(3)
		now := compute(t)
		c := chooseOther(t, now)
		t.Place(now, placement.AttemptID{Owner: self, Number: 1}, c.Endpoint.ID, longRequest(100, 2), c.Fetch)
		next, ok := t.Choose(now.Add(time.Second), longRequest(100, 3), func(id string) bool { return id != c.Endpoint.ID }, rand.New(rand.NewPCG(1, 2)))
		Expect(ok).To(BeTrue())
		Expect(next.Fetch.Any()).To(BeFalse())
		Expect(next.PrefillTokens).To(Equal(7_000))
	})

	DescribeTable("are not made from a source that", func(change func(t *placement.Table, now time.Time)) {
		t := transferTable(3)
		now := compute(t)
		change(t, now)
		Expect(chooseOther(t, now).Fetch.Any()).To(BeFalse())
	},
		Entry("is leaving", func(t *placement.Table, _ time.Time) {
			list := engines(3)
			list[0].Leaving = true
			t.SetEndpoints(origin, list)
		}),
		Entry("is gone", func(t *placement.Table, _ time.Time) { t.SetEndpoints(origin, engines(3)[1:]) }),
		Entry("is unreachable", func(t *placement.Table, now time.Time) {
			id := placement.AttemptID{Owner: self, Number: 9}
			t.Place(now, id, "e-0", shortRequest(9), memory.Fetch{})
			t.End(now, id, placement.Unreachable)
		}),
		Entry("fails", func(t *placement.Table, now time.Time) {
			for n := range 3 {
				id := placement.AttemptID{Owner: self, Number: uint64(n + 9)}
				t.Place(now, id, "e-0", shortRequest(9), memory.Fetch{})
				t.End(now, id, placement.Errored)
			}
		}),
		Entry("is overdue", func(t *placement.Table, now time.Time) {
			t.Place(now.Add(-time.Second), placement.AttemptID{Owner: self, Number: 9}, "e-0", shortRequest(9), memory.Fetch{})
		}),
		Entry("belongs to a service that transfers no memory", func(t *placement.Table, _ time.Time) {
			t.SetServices([]placement.Service{{Name: "pool", MemoryTokens: 500_000, EventTokens: 6, InterEventTarget: 150 * time.Millisecond}})
		}),
		Entry("has evicted the part, as earlier fetches showed", func(t *placement.Table, now time.Time) {
			f := memory.Fetch{Source: "e-0", Tokens: 5_000, TransferMS: 28}
			for n := range 12 {
				id := placement.AttemptID{Owner: other, Number: uint64(n + 9)}
				t.Place(now.Add(-time.Second), id, "e-1", longRequest(uint64(n+500), uint64(n+900)), f)
				t.FirstEvent(now, id)
				t.End(now, id, placement.Succeeded)
			}
		}),
	)

	It("wait for ongoing fetches of other entries", func() {
		t := transferTable(4)
		now := compute(t)
		before := chooseOther(t, now).Fetch.MS()
		t.Place(now, placement.AttemptID{Owner: other, Number: 2}, "e-3", longRequest(100, 2), memory.Fetch{Source: "e-0", Tokens: 5_000, TransferMS: 28})
		c, ok := t.Choose(now, longRequest(100, 3), func(id string) bool { return id != "e-2" }, rand.New(rand.NewPCG(1, 2)))
		Expect(ok).To(BeTrue())
		Expect(c.Fetch.MS()).To(BeNumerically("~", before+28, 1))
	})
})
