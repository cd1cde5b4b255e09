package queue_test

import (
	"flag"
	"fmt"
	"math"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/queue"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(id int, terms message.Terms, arrived time.Time) *queue.Item {
	return &queue.Item{
		Key:      queue.Key{Owner: 1, Request: message.RequestID(id)},
		Offer:    message.Offer{Request: message.RequestID(id), Terms: terms},
		Arrived:  arrived,
		Deadline: arrived.Add(terms.FirstToken),
	}
}

func class(tier int) message.Terms {
	return message.Terms{
		Class:       fmt.Sprintf("class-%d", tier),
		Team:        "a",
		Tier:        tier,
		FirstToken:  time.Second,
		StarveAfter: 10 * time.Second,
		Weight:      1,
	}
}

// property checks a property with rapid and a fixed seed.
func property(check func(*rapid.T)) {
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	rapid.Check(GinkgoT(), check)
}

var _ = Describe("Queue", func() {
	It("serves tiers in order", func() {
		var q queue.Queue
		for n, tier := range []int{2, 0, 1, 0} {
			q.Push(item(n, class(tier), start), start)
		}
		var tiers []int
		for q.Len() > 0 {
			i := q.Peek(start, queue.Capacity{Slots: 4})
			tiers = append(tiers, i.Offer.Terms.Tier)
			q.Take(i)
		}
		Expect(tiers).To(Equal([]int{0, 0, 1, 2}))
	})

	It("serves items that can meet their target before late ones", func() {
		var q queue.Queue
		late := item(1, class(0), start.Add(-5*time.Second))
		onTime := item(2, class(0), start)
		q.Push(late, start)
		q.Push(onTime, start)
		Expect(q.Peek(start, queue.Capacity{Slots: 4})).To(BeIdenticalTo(onTime))
		q.Take(onTime)
		Expect(q.Peek(start, queue.Capacity{Slots: 4})).To(BeIdenticalTo(late))
	})

	It("never evicts a tier for the same or a lower one", func() {
		property(func(t *rapid.T) {
			q := queue.Queue{Bound: rapid.IntRange(1, 8).Draw(t, "bound")}
			for n := range rapid.IntRange(1, 60).Draw(t, "pushes") {
				tier := rapid.IntRange(0, 3).Draw(t, "tier")
				evicted, accepted := q.Push(item(n, class(tier), start), start)
				if evicted != nil && evicted.Offer.Terms.Tier <= tier {
					t.Fatalf("tier %d was evicted for tier %d", evicted.Offer.Terms.Tier, tier)
				}
				for lower := tier + 1; !accepted && lower <= 3; lower++ {
					if q.LenTier(lower) > 0 {
						t.Fatalf("tier %d was refused while tier %d waited", tier, lower)
					}
				}
				if q.Len() > q.Bound {
					t.Fatalf("%d items, bound %d", q.Len(), q.Bound)
				}
			}
		})
	})

	It("honours weights within 5 in 100 over 1,000 picks", func() {
		property(func(t *rapid.T) {
			q := queue.Queue{Bound: 10000}
			weights := rapid.SliceOfN(rapid.IntRange(1, 10), 2, 6).Draw(t, "weights")
			sum := 0
			next := 0
			for team, w := range weights {
				sum += w
				for range 1000 {
					next++
					terms := class(1)
					terms.Team = fmt.Sprint(team)
					terms.Weight = w
					q.Push(item(next, terms, start), start)
				}
			}
			served := make([]int, len(weights))
			const picks = 1000
			for range picks {
				i := q.Peek(start, queue.Capacity{Slots: 4})
				team := 0
				if _, err := fmt.Sscan(i.Offer.Terms.Team, &team); err != nil {
					t.Fatal(err)
				}
				served[team]++
				q.Take(i)
			}
			for team, w := range weights {
				share := float64(picks*w) / float64(sum)
				if math.Abs(float64(served[team])-share) > 0.05*share+1 {
					t.Fatalf("team %d with weight %d of %d was served %d times", team, w, sum, served[team])
				}
			}
		})
	})

	It("lets no class wait longer than twice its bound while slots become free", func() {
		property(func(t *rapid.T) {
			step := time.Duration(rapid.IntRange(50, 500).Draw(t, "step")) * time.Millisecond
			var q queue.Queue
			low := class(2)
			low.StarveAfter = 5 * time.Second
			starved := item(0, low, start)
			q.Push(starved, start)
			now := start
			for n := 1; ; n++ {
				q.Push(item(n, class(0), now), now)
				i := q.Peek(now, queue.Capacity{Slots: 8, NextFree: step, Running: func(string) int { return 0 }})
				if i == starved {
					break
				}
				q.Take(i)
				now = now.Add(step)
				if wait := now.Sub(start); wait > 2*low.StarveAfter+step {
					t.Fatalf("waited %v", wait)
				}
			}
		})
	})

	It("limits the starvation guard to the class's floor", func() {
		var q queue.Queue
		q.Push(item(1, class(2), start.Add(-time.Minute)), start)
		high := item(2, class(0), start)
		q.Push(high, start)
		busy := queue.Capacity{Slots: 8, Running: func(string) int { return 1 }}
		Expect(q.Peek(start, busy)).To(BeIdenticalTo(high))
	})

	It("holds the same items as a reference set", func() {
		property(func(t *rapid.T) {
			var q queue.Queue
			want := map[queue.Key]bool{}
			now := start
			for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					terms := class(rapid.IntRange(0, 2).Draw(t, "tier"))
					terms.Team = rapid.StringMatching("[a-d]").Draw(t, "team")
					i := item(n, terms, now)
					q.Push(i, now)
					want[i.Key] = true
				case 1:
					if i := q.Peek(now, queue.Capacity{Slots: 4}); i != nil {
						q.Take(i)
						delete(want, i.Key)
					}
				case 2:
					k := queue.Key{Owner: 1, Request: message.RequestID(rapid.IntRange(0, n).Draw(t, "id"))}
					if (q.Remove(k) != nil) != want[k] {
						t.Fatalf("item %d: want in queue %v", k.Request, want[k])
					}
					delete(want, k)
				}
				if q.Len() != len(want) {
					t.Fatalf("%d items, want %d", q.Len(), len(want))
				}
			}
		})
	})
})
