package health_test

import (
	"time"

	"foxcross.dev/coord/health"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Circuit", func() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	It("ejects after consecutive failures, then probes with one request", func() {
		var c health.Circuit
		for range 3 {
			Expect(c.Allows(now, 0)).To(BeTrue())
			c.Failed(now, true)
		}
		Expect(c.State()).To(Equal(health.Ejected))
		Expect(c.Allows(now, 0)).To(BeFalse())
		later := c.Until()
		Expect(c.Allows(later, 0)).To(BeTrue())
		Expect(c.Allows(later, 1)).To(BeFalse())
		c.Succeeded(later)
		Expect(c.State()).To(Equal(health.Healthy))
	})

	It("extends the ejection after each failed probe", func() {
		var c health.Circuit
		for range 3 {
			c.Failed(now, true)
		}
		first := c.Until().Sub(now)
		later := c.Until()
		Expect(c.Allows(later, 0)).To(BeTrue())
		c.Failed(later, true)
		Expect(c.Until().Sub(later)).To(BeNumerically(">", first))
	})

	It("does not eject more than the bound allows", func() {
		var c health.Circuit
		for range 10 {
			c.Failed(now, false)
		}
		Expect(c.Allows(now, 5)).To(BeTrue())
		Expect(health.MayEject(0, 1)).To(BeFalse())
		Expect(health.MayEject(1, 4)).To(BeTrue())
		Expect(health.MayEject(2, 4)).To(BeFalse())
	})
})
