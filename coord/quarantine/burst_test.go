package quarantine_test

import (
	"fmt"
	"testing"
	"time"
)

// burst schedules bursts of concurrent requests for a content, at random entries: the first one
// now, the others at intervals of gap until a time.
func (m *model) burst(content string, callers int, gap, until time.Duration) {
	const within = 20 * time.Millisecond
	for at := time.Duration(0); at < until; at += gap {
		for range callers {
			m.after(at+time.Duration(m.random.Int64N(int64(within))), func() {
				m.request(m.random.IntN(len(m.tables)), content, 1)
			})
		}
	}
}

// TestModelBoundsBursts checks the bound of TestModelBoundsSends for repeated bursts of
// concurrent requests for the same content.
//
// It guards against repeated crashes of many endpoints: six callers send the same content at
// once and crash six endpoints within a tenth of a second, and do so again some seconds later.
// Endpoints that crash together count once, so the content has one or two counted crashes after
// the first burst, and all requests of the next one are sent before any of them crashes an
// endpoint. If crashes that happen together never counted as more than one event, although no
// run of the content succeeds, 10 of 70 runs of this test would send 6 or 12 requests too late,
// all with at most two counted crashes.
func TestModelBoundsBursts(t *testing.T) {
	const (
		endpoints = 18
		length    = 30 * time.Second
		maxLate   = 3
	)
	for _, c := range []struct {
		entries, callers int
		gap              time.Duration
		seeds            uint64
	}{
		{5, 2, 1500 * time.Millisecond, 15},
		{5, 6, 2 * time.Second, 15},
		{5, 12, 4 * time.Second, 15},
		{5, 6, 8 * time.Second, 15},
		{28, 12, 4 * time.Second, 8},
		{103, 40, 5 * time.Second, 2},
	} {
		t.Run(fmt.Sprintf("%d callers at %d entries every %v", c.callers, c.entries, c.gap), func(t *testing.T) {
			worst, refused := 0, 0.0
			for seed := range c.seeds {
				m := newModel(seed, c.entries, endpoints, 15*time.Millisecond, 0)
				m.load(0.01, length)
				m.burst("bad-1", c.callers, c.gap, length)
				m.run(length)
				late := m.lateSends("bad-1")
				worst = max(worst, late)
				if late > maxLate {
					t.Errorf("seed %d: sent %d times after all entries had to hold it, %d crashes", seed, late, len(m.crashed["bad-1"]))
				}
				refused += m.refusedFraction() / float64(c.seeds)
			}
			t.Logf("sent late at most %d times, fraction of other requests refused %.5f", worst, refused)
		})
	}
}
