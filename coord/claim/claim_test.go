package claim_test

import (
	"fmt"
	"time"

	"foxcross.dev/coord/claim"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var rules = claim.Settings{Period: time.Minute, RetainPeriods: 2}

func none(claim.Key) (claim.Nonce, bool) { return "", false }

func request(key, nonce string) claim.Request {
	return claim.Request{Key: claim.HashKey(key), Nonce: claim.Nonce(nonce)}
}

var _ = Describe("Head", func() {
	now := time.Unix(6000, 0)

	It("grants a key to the first claim, also within a batch", func() {
		h, v := claim.Head{}.Apply(now, rules, []claim.Request{request("k", "a"), request("k", "b")}, none)
		Expect(v).To(Equal([]claim.Outcome{claim.Granted, claim.Conflict}))
		_, v = h.Apply(now, rules, []claim.Request{request("k", "c"), request("k", "a")}, none)
		Expect(v).To(Equal([]claim.Outcome{claim.Conflict, claim.Granted}))
	})

	It("releases a key only for its owner", func() {
		h, _ := claim.Head{}.Apply(now, rules, []claim.Request{request("k", "a")}, none)
		other := request("k", "b")
		other.Release = true
		own := request("k", "a")
		own.Release = true
		h, _ = h.Apply(now, rules, []claim.Request{other}, none)
		Expect(h.Claims).To(HaveLen(1))
		h, _ = h.Apply(now, rules, []claim.Request{own}, none)
		Expect(h.Claims).To(BeEmpty())
	})

	It("retains claims in segments after a new period has started", func() {
		h, _ := claim.Head{}.Apply(now, rules, []claim.Request{request("k", "a")}, none)
		kept := h.Claims
		later := now.Add(time.Minute)
		Expect(h.NeedsRoll(now, rules)).To(BeFalse())
		Expect(h.NeedsRoll(later, rules)).To(BeTrue())
		h = h.Roll(later, rules, "s")
		older := func(k claim.Key) (claim.Nonce, bool) {
			n, ok := kept[k]
			return n, ok
		}
		_, v := h.Apply(later, rules, []claim.Request{request("k", "b")}, older)
		Expect(v).To(Equal([]claim.Outcome{claim.Conflict}))
		Expect(h.Roll(now.Add(2*time.Minute), rules, "t").Segments).To(HaveLen(2))
		Expect(h.Roll(now.Add(10*time.Minute), rules, "t").Segments).To(HaveLen(0))
	})

	It("does not decrease the period for a clock that is behind", func() {
		h, _ := claim.Head{}.Apply(now.Add(time.Hour), rules, []claim.Request{request("k", "a")}, none)
		behind, v := h.Apply(now, rules, []claim.Request{request("k", "b")}, none)
		Expect(v).To(Equal([]claim.Outcome{claim.Conflict}))
		Expect(behind.Period).To(Equal(h.Period))
		Expect(h.NeedsRoll(now, rules)).To(BeFalse())
	})
})

func ExampleHead_Apply() {
	now := time.Unix(0, 0)
	batch := []claim.Request{request("order-7", "entry-1"), request("order-7", "entry-2")}
	_, outcomes := claim.Head{}.Apply(now, rules, batch, none)
	fmt.Println(outcomes[0] == claim.Granted, outcomes[1] == claim.Conflict)
	// Output: true true
}
