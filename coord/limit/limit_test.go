package limit_test

import (
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/limit"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// engine returns the step time of an engine by the number of running requests.
type engine func(running int) time.Duration

// settle runs an engine at its limit until the limit is stable, and returns that limit.
func settle(l *limit.Estimator, e engine, target time.Duration, noise float64) int {
	random := rand.New(rand.NewPCG(1, 1))
	running := 1
	for range 3000 {
		most := l.Limit(target)
		running = max(1, min(most, running+1))
		took := float64(e(running)) * (1 + noise*random.NormFloat64())
		l.Observe(running, time.Duration(took))
	}
	return running
}

func linear(step time.Duration, batch int) engine {
	return func(n int) time.Duration { return step + step*time.Duration(n-1)/time.Duration(batch) }
}

// knee returns an engine with a constant step time up to a number of running requests, and a
// quadratic one beyond it.
func knee(step time.Duration, flat int) engine {
	return func(n int) time.Duration {
		over := max(0, n-flat)
		return step + step*time.Duration(over*over)/time.Duration(flat)
	}
}

var _ = Describe("Estimator", func() {
	const target = 30 * time.Millisecond

	DescribeTable("converges below the target and near it",
		func(e engine, noise float64, least int) {
			var l limit.Estimator
			n := settle(&l, e, target, noise)
			Expect(e(n)).To(BeNumerically("<=", target))
			Expect(n).To(BeNumerically(">=", least))
		},
		Entry("fast engine", linear(10*time.Millisecond, 16), 0.0, 28),
		Entry("slow engine", linear(25*time.Millisecond, 16), 0.0, 2),
		Entry("with noise", linear(10*time.Millisecond, 16), 0.1, 18),
		Entry("constant, then quadratic", knee(20*time.Millisecond, 32), 0.05, 24),
	)

	It("follows an engine that slows down and recovers", func() {
		var l limit.Estimator
		fast := linear(10*time.Millisecond, 16)
		slow := linear(25*time.Millisecond, 16)
		before := settle(&l, fast, target, 0.02)
		during := settle(&l, slow, target, 0.02)
		after := settle(&l, fast, target, 0.02)
		Expect(slow(during)).To(BeNumerically("<=", target))
		Expect(after).To(BeNumerically(">=", before*8/10))
	})

	It("allows more requests for a longer target", func() {
		var l limit.Estimator
		settle(&l, linear(10*time.Millisecond, 16), target, 0.02)
		Expect(l.Limit(60 * time.Millisecond)).To(BeNumerically(">", l.Limit(target)))
	})
})

var _ = Describe("Teams", func() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	It("enforces the rate over time", func() {
		var t limit.Teams
		granted := 0
		for n := range 1000 {
			at := now.Add(time.Duration(n) * 10 * time.Millisecond)
			if ok, _ := t.Acquire(at, "a", limit.Allowance{Rate: 20}); ok {
				granted++
				t.Release("a")
			}
		}
		Expect(granted).To(BeNumerically("~", 220, 2)) // 10 s at 20/s and a burst of 20
	})

	It("returns when to retry", func() {
		var t limit.Teams
		a := limit.Allowance{Rate: 0.5}
		ok, _ := t.Acquire(now, "a", a)
		Expect(ok).To(BeTrue())
		ok, retry := t.Acquire(now, "a", a)
		Expect(ok).To(BeFalse())
		ok, _ = t.Acquire(now.Add(retry), "a", a)
		Expect(ok).To(BeTrue())
	})

	It("enforces the concurrency and allows requests again after a release", func() {
		var t limit.Teams
		a := limit.Allowance{Concurrency: 4}.Share(2)
		for range 2 {
			ok, _ := t.Acquire(now, "a", a)
			Expect(ok).To(BeTrue())
		}
		ok, _ := t.Acquire(now, "a", a)
		Expect(ok).To(BeFalse())
		t.Release("a")
		ok, _ = t.Acquire(now, "a", a)
		Expect(ok).To(BeTrue())
	})
})
