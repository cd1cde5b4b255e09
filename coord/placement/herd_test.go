package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
)

// scheduledEvent is an event at a virtual time.
type scheduledEvent struct {
	at time.Duration
	do func(now time.Time)
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (s eventQueue) Len() int           { return len(s) }
func (s eventQueue) Less(i, j int) bool { return s[i].at < s[j].at }
func (s eventQueue) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)        { *s = append(*s, x.(scheduledEvent)) }
func (s *eventQueue) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}

// herdSimulation simulates entries that each place an equal share of the requests, engines that
// compute one prompt after the other, and events that reach the other entries late.
type herdSimulation struct {
	entries, engines int
	perSecond        int
	eventDelay       time.Duration
	longTokens       int           // of a long prompt
	longTarget       time.Duration // first-event target of a long prompt
	duration         time.Duration

	longShare   int           // one prompt in longShare is long
	crashAt     time.Duration // when lostEngines engines end, zero for never
	lostEngines int           // engines that end at crashAt

	tables []*placement.Table
	freeAt []time.Duration // when each engine has computed all prompts sent to it
	queue  eventQueue
	start  time.Time
	random *rand.Rand
	waits  []time.Duration // of prompts, until an engine began to compute them

	long, rejected, inTime int // long prompts: all, rejected, first event within the target
}

// tokensPerMS is the prefill speed of an engine, and baseTime the time to a first event beside
// the prefill.
const (
	tokensPerMS    = 60
	baseTime       = 8 * time.Millisecond
	streamDuration = 800 * time.Millisecond
)

// run runs the simulation and returns how long prompts waited at engines.
func (l *herdSimulation) run() []time.Duration {
	l.start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l.random = rand.New(rand.NewPCG(1, 2))
	l.freeAt = make([]time.Duration, l.engines)
	for n := range l.entries {
		l.tables = append(l.tables, snapshotTable(l.engines, uint64(n+1)))
	}
	interval := time.Second / time.Duration(l.perSecond)
	number := uint64(0)
	for at := time.Duration(0); at < l.duration; at += interval {
		number++
		current := number
		l.schedule(at, func(now time.Time) { l.place(now, current) })
	}
	if l.lostEngines > 0 {
		l.schedule(l.crashAt, func(time.Time) { l.removeEngines() })
	}
	for len(l.queue) > 0 {
		s := heap.Pop(&l.queue).(scheduledEvent)
		s.do(l.start.Add(s.at))
	}
	return l.waits
}

func (l *herdSimulation) schedule(at time.Duration, do func(time.Time)) {
	heap.Push(&l.queue, scheduledEvent{at, do})
}

// place lets a random entry place a request.
func (l *herdSimulation) place(now time.Time, number uint64) {
	entry := l.random.IntN(l.entries)
	r := placement.Request{
		Service: "pool", FirstEventTarget: 300 * time.Millisecond, InterEventTarget: 300 * time.Millisecond, TimeLeft: 10 * time.Second,
		Prompt: memory.Prompt{Tokens: 800, MaxOutputTokens: 280},
	}
	long := number%uint64(l.longShare) == 0
	if long {
		r.Prompt.Tokens = l.longTokens
		r.FirstEventTarget, r.InterEventTarget = l.longTarget, l.longTarget
		l.long++
	}
	tokens := r.Prompt.Tokens
	r.Prompt.Parts = []memory.Part{{ID: 1_000_000 + number, Tokens: tokens}}
	c, ok := l.tables[entry].Choose(now, r, func(string) bool { return false }, l.random)
	if !ok {
		return
	}
	if _, admitted := admit(c, r, r.TimeLeft); !admitted {
		l.rejected++
		return
	}
	var engine int
	if _, err := fmt.Sscanf(c.Endpoint.ID, "i-%d", &engine); err != nil {
		panic(err)
	}
	at := now.Sub(l.start)
	starts := max(l.freeAt[engine], at)
	l.waits = append(l.waits, starts-at)
	l.freeAt[engine] = starts + time.Duration(tokens)*time.Millisecond/tokensPerMS
	first := l.freeAt[engine] + baseTime
	crashed := l.lostEngines > 0 && engine < l.lostEngines && first > l.crashAt
	if long && !crashed && first-at <= r.FirstEventTarget {
		l.inTime++
	}
	id := placement.AttemptID{Owner: uint64(entry + 1), Number: number}
	l.announce(at, entry, func(t *placement.Table, now time.Time) { t.Place(now, id, c.Endpoint.ID, r, memory.Fetch{}) })
	l.announce(first, entry, func(t *placement.Table, now time.Time) { t.FirstEvent(now, id) })
	l.announce(first+streamDuration, entry, func(t *placement.Table, now time.Time) { t.End(now, id, placement.Succeeded) })
}

// removeEngines ends engines. All entries receive the new list at once.
func (l *herdSimulation) removeEngines() {
	for _, t := range l.tables {
		var remaining []placement.Endpoint
		for n := l.lostEngines; n < l.engines; n++ {
			remaining = append(remaining, placement.Endpoint{ID: fmt.Sprint("i-", n), Service: "pool", Slots: 24, Engine: true, Version: "v1"})
		}
		t.SetEndpoints(l.start, remaining)
	}
}

// announce applies an event at one entry at once, and at the others after eventDelay.
func (l *herdSimulation) announce(at time.Duration, entry int, do func(*placement.Table, time.Time)) {
	l.schedule(at, func(now time.Time) { do(l.tables[entry], now) })
	l.schedule(at+l.eventDelay, func(now time.Time) {
		for n, t := range l.tables {
			if n != entry {
				do(t, now.Add(-l.eventDelay))
			}
		}
	})
}

// shareAbove returns the share of the waits that are longer than limit.
func shareAbove(waits []time.Duration, limit time.Duration) float64 {
	longer := 0
	for _, w := range waits {
		if w > limit {
			longer++
		}
	}
	return float64(longer) / float64(len(waits))
}

// Guards against entries that receive each other's attempts 12 ms late and all send their
// requests to the same engine in the meantime. At 2,000 requests per second, 38 % of the
// engines' capacity, 0.043 of the prompts wait for more than 100 ms. The share is 0.191 if each
// entry considers all engines, 0.066 if it considers 32 and 0.024 if it considers 8.
func TestEntriesWithDelayedEventsSpreadRequests(t *testing.T) {
	const limit, maxShare = 100 * time.Millisecond, 0.06
	l := &herdSimulation{entries: 30, engines: 160, perSecond: 2000, eventDelay: 12 * time.Millisecond, duration: 3 * time.Second,
		longShare: 5, longTokens: 6000, longTarget: 300 * time.Millisecond}
	waits := l.run()
	if got := shareAbove(waits, limit); got > maxShare {
		t.Errorf("%.3f of the prompts wait for more than %v, want at most %v", got, limit, maxShare)
	}
}

// Guards against rejecting long prompts that would still be in time when 65 of 160 engines end
// during a burst of them. 1,556 of 1,600 are in time, and the others were at an engine that
// ended. With a limit of 0.25 first-event targets on waits at a busy service, 102 are rejected
// and 1,454 are in time.
func TestLongPromptsAreAdmittedAfterEngineLoss(t *testing.T) {
	l := &herdSimulation{entries: 20, engines: 160, perSecond: 1600, eventDelay: 12 * time.Millisecond, duration: 4 * time.Second,
		longShare: 4, longTokens: 12_000, longTarget: 2 * time.Second, crashAt: time.Second, lostEngines: 65}
	l.run()
	if want := l.long * 96 / 100; l.inTime < want || l.rejected > 0 {
		t.Errorf("of %d long prompts %d are in time and %d are rejected, want %d and none", l.long, l.inTime, l.rejected, want)
	}
}
