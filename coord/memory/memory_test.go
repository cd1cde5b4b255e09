package memory_test

import (
	"testing"
	"time"

	"foxcross.dev/coord/memory"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rate transfers a token in 5 µs.
var rate = memory.Rate{TokenBytes: 100_000, LinkMbps: 160_000}

func target(cachedTokens int) memory.Target {
	return memory.Target{ID: "to", Version: "v1", DataCentre: "a", CachedTokens: cachedTokens, Link: &memory.Link{}, ComputeMS: 0.02}
}

func source(cachedTokens int) memory.Source {
	return memory.Source{ID: "from", Version: "v1", DataCentre: "a", CachedTokens: cachedTokens, Link: &memory.Link{}, MissRate: &memory.MissRate{}}
}

func TestBest(t *testing.T) {
	remote := source(5000)
	remote.DataCentre = "b"
	self := source(5000)
	self.ID = "to"
	unreliable := source(5000)
	for range 20 {
		unreliable.MissRate.Observe(100, 100)
	}
	busy := source(5000)
	memory.Occupy(origin, busy.Link, &memory.Link{}, 200)
	for _, c := range []struct {
		name         string
		rate         memory.Rate
		source       memory.Source
		cachedTokens int
		tokens       int
		ms           float64
	}{
		{name: "the missing tokens", rate: rate, source: source(5000), cachedTokens: 1000, tokens: 4000, ms: 23},
		{name: "twice as long from another data centre", rate: rate, source: remote, tokens: 5000, ms: 53},
		{name: "not from itself", rate: rate, source: self},
		{name: "not if the target caches as many tokens", rate: rate, source: source(1000), cachedTokens: 1000},
		{name: "not fewer than minFetchTokens", rate: rate, source: source(1050), cachedTokens: 1000},
		{name: "not if computing is faster", rate: rate, source: source(180)},
		{name: "not over a busy link", rate: rate, source: busy},
		{name: "not from a source with many misses", rate: rate, source: unreliable},
		{name: "not if transfers are not offered", source: source(5000)},
		{name: "not without a link", rate: memory.Rate{TokenBytes: 100_000}, source: source(5000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			sources := []memory.Source{c.source}
			if !c.rate.Offered() {
				sources = nil // as callers do
			}
			f := memory.Best(origin, c.rate, sources, target(c.cachedTokens))
			if f.Tokens != c.tokens || int(f.MS()+0.5) != int(c.ms) {
				t.Errorf("%d tokens in %.1f ms, want %d in %.0f", f.Tokens, f.MS(), c.tokens, c.ms)
			}
		})
	}
}

func TestTransfersOfEngineAreSequential(t *testing.T) {
	var a, b, c memory.Link
	memory.Occupy(origin, &a, &b, 20)
	memory.Occupy(origin, &b, &c, 30)
	if got := memory.WaitMS(origin, &a, &memory.Link{}); got != 20 {
		t.Errorf("the first link is free after %v ms, want 20", got)
	}
	if got := memory.WaitMS(origin, &c, &memory.Link{}); got != 50 {
		t.Errorf("the third link is free after %v ms, want 50", got)
	}
	if got := memory.WaitMS(origin.Add(time.Second), &b, &c); got != 0 {
		t.Errorf("the wait after a second is %v ms, want 0", got)
	}
}

func TestMissRate(t *testing.T) {
	var missRate memory.MissRate
	if missRate.Observe(20, 20) {
		t.Error("a fetch of few tokens counts as a miss")
	}
	if missRate.Observe(40, 100) || missRate.Probability() != 0 {
		t.Error("a slightly late first event counts as a miss")
	}
	if !missRate.Observe(60, 100) || missRate.Probability() == 0 {
		t.Error("a first event as late as by computing does not count as a miss")
	}
	missing := missRate.Probability()
	missRate.Observe(0, 100)
	if missRate.Probability() >= missing {
		t.Error("a fetch in time does not lower the miss rate")
	}
}

func TestPendingPartsAreNotFetchable(t *testing.T) {
	var c memory.Cache
	p := memory.Prompt{Tokens: 30, Parts: []memory.Part{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 20}}}
	added := c.Use(p, 1000)
	if c.Fetchable(p) != 0 || c.Uncached(p) != 0 {
		t.Errorf("while pending, %d tokens are fetchable and %d uncached, want 0, 0", c.Fetchable(p), c.Uncached(p))
	}
	if again := c.Use(p, 1000); len(again) != 0 {
		t.Errorf("a second prompt adds %v, want none", again)
	}
	c.MarkCached(added)
	if c.Fetchable(p) != 30 {
		t.Errorf("once cached, %d tokens are fetchable, want 30", c.Fetchable(p))
	}
	other := memory.Prompt{Tokens: 15, Parts: []memory.Part{{ID: 1, Tokens: 10}, {ID: 3, Tokens: 5}}}
	c.Discard(c.Use(other, 1000))
	if c.Has(3) || !c.Has(1) || c.Tokens() != 30 {
		t.Errorf("after a failed prompt, its new part is cached: %v, its old part: %v", c.Has(3), c.Has(1))
	}
}

func TestUncachedCountsPrefixOnly(t *testing.T) {
	var c memory.Cache
	p := memory.Prompt{Tokens: 60, Parts: []memory.Part{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 20}, {ID: 3, Tokens: 30}}}
	c.Use(p, 1000)
	other := memory.Prompt{Tokens: 60, Parts: []memory.Part{{ID: 9, Tokens: 10}, {ID: 2, Tokens: 20}, {ID: 3, Tokens: 30}}}
	if c.Uncached(p) != 0 || c.Uncached(other) != 60 || c.UncachedShared(other) != 30 {
		t.Errorf("uncached %d, %d, %d, want 0, 60, 30", c.Uncached(p), c.Uncached(other), c.UncachedShared(other))
	}
	c.Use(memory.Prompt{Tokens: 50, Parts: []memory.Part{{ID: 4, Tokens: 50}}}, 60)
	if c.Tokens() != 60 || c.Has(2) || !c.Has(1) {
		t.Errorf("cached %d tokens, second part %v, first part %v", c.Tokens(), c.Has(2), c.Has(1))
	}
}
