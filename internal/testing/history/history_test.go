package history_test

import (
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/testing/history"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

var rules = history.Rules{
	LeaveGracePeriod:  3 * time.Second,
	ActivationTimeout: 10 * time.Second,
	Processes:         []string{"e"},
	StartWithin:       map[string]time.Duration{"tag": 20 * time.Second},
	End:               at(100),
}

// validHistory returns a history that keeps every promise.
func validHistory() []history.Event {
	return []history.Event{
		history.Submitted{ID: "1", Class: "chat", Repeatable: true, WantBody: "hello", At: at(0)},
		history.Executed{ID: "1", Endpoint: "a", At: at(1)},
		history.Answered{ID: "1", Code: result.OK, Run: result.Ran, Body: "hello", At: at(2)},
		history.Submitted{ID: "2", Class: "tag", Tier: 2, At: at(0)},
		history.Answered{ID: "2", Code: result.GaveUp, Run: result.NotRun, At: at(10)},
		history.Displaced{Tier: 2, ByTier: 0, At: at(5)},
		history.Left{Endpoint: "a", At: at(20)},
		history.Joined{Endpoint: "a", At: at(30)},
		history.Submitted{ID: "3", Class: "chat", WantBody: "x", At: at(40)},
		history.Executed{ID: "3", Endpoint: "a", At: at(41)},
		history.Answered{ID: "3", Code: result.OK, Run: result.Ran, Body: "x", At: at(42)},
		history.Accepted{Version: 2, At: at(50)},
		history.Activated{Process: "e", Version: 2, At: at(51)},
	}
}

var _ = Describe("Check", func() {
	It("finds no violation in a history that keeps every promise", func() {
		Expect(history.Check(validHistory(), rules)).To(BeEmpty())
	})

	DescribeTable("finds the promise that a history breaks",
		func(p history.Promise, planted ...history.Event) {
			violations := history.Check(append(validHistory(), planted...), rules)
			Expect(violations).To(HaveLen(1))
			Expect(violations[0].Promise).To(Equal(p))
		},
		Entry("a duplicate execution", history.AtMostOnce, history.Executed{ID: "3", Endpoint: "b", At: at(43)}),
		Entry("executed but reported as not run", history.NotRunReportedTruthfully, history.Executed{ID: "2", Endpoint: "b", At: at(9)}),
		Entry("the answer to another request", history.WholeAnswer,
			history.Submitted{ID: "4", Repeatable: true, WantBody: "mine", At: at(60)},
			history.Answered{ID: "4", Code: result.OK, Run: result.Ran, Body: "yours", At: at(61)}),
		Entry("a truncated answer", history.WholeAnswer,
			history.Submitted{ID: "4", Repeatable: true, WantBody: "the whole", At: at(60)},
			history.Answered{ID: "4", Code: result.OK, Run: result.Ran, Body: "the", At: at(61)}),
		Entry("a second answer", history.OneAnswer, history.Answered{ID: "3", Code: result.Cancelled, Run: result.Unknown, At: at(45)}),
		Entry("no answer", history.OneAnswer, history.Submitted{ID: "5", Repeatable: true, At: at(90)}),
		Entry("a higher tier displaced", history.TierOrder, history.Displaced{Tier: 0, ByTier: 2, At: at(70)}),
		Entry("the same tier displaced", history.TierOrder, history.Displaced{Tier: 1, ByTier: 1, At: at(70)}),
		Entry("work for a leaving endpoint", history.NoWorkAfterLeaving,
			history.Left{Endpoint: "c", At: at(60)},
			history.Submitted{ID: "6", Repeatable: true, WantBody: "x", At: at(60)},
			history.Executed{ID: "6", Endpoint: "c", At: at(64)},
			history.Answered{ID: "6", Code: result.OK, Run: result.Ran, Body: "x", At: at(65)}),
		Entry("a reverted setting", history.NeverReverts, history.Activated{Process: "e", Version: 1, At: at(55)}),
		Entry("a late setting", history.ActiveInTime,
			history.Accepted{Version: 3, At: at(60)},
			history.Activated{Process: "e", Version: 3, At: at(75)}),
		Entry("a starved class", history.NoStarvation,
			history.Submitted{ID: "7", Class: "tag", WantBody: "x", At: at(60)},
			history.Executed{ID: "7", Endpoint: "b", At: at(85)},
			history.Answered{ID: "7", Code: result.OK, Run: result.Ran, Body: "x", At: at(86)}),
	)
})
