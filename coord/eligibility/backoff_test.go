package eligibility_test

import (
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
)

func TestBackoffEndsWithTheLatestOfSeveral(t *testing.T) {
	var b eligibility.Backoff
	if !b.Apply(origin, 3*time.Second, 0) {
		t.Error("the first one did not begin a backoff")
	}
	if b.Apply(origin.Add(time.Second), time.Second, 0) {
		t.Error("a shorter one began another backoff")
	}
	if left := b.Left(origin.Add(time.Second)); left != 2*time.Second {
		t.Errorf("a shorter one leaves %v", left)
	}
	b.Apply(origin.Add(2*time.Second), 2500*time.Millisecond, 500*time.Millisecond)
	if left := b.Left(origin.Add(2 * time.Second)); left != 3*time.Second {
		t.Errorf("a longer one leaves %v", left)
	}
}

func TestBackoffOfAnInvalidDelayIsNone(t *testing.T) {
	for _, delay := range []time.Duration{0, -time.Second, eligibility.MaxBackoff + 1} {
		var b eligibility.Backoff
		if b.Apply(origin, delay, 0) || b.Active(origin) || !b.Allows(origin, 100) {
			t.Errorf("a delay of %v began a backoff", delay)
		}
	}
}

func TestBackoffIsFollowedByASlowStart(t *testing.T) {
	const slots = 4
	var b eligibility.Backoff
	b.Apply(origin, time.Second, 0)
	end := origin.Add(time.Second)
	if b.Allows(end.Add(-1), 0) {
		t.Error("a request is allowed before the end")
	}
	for open := range slots {
		if !b.Allows(end, open) || b.Allows(end, open+1) {
			t.Errorf("after %d responses not %d requests may be open", open, open+1)
		}
		b.Responded(end.Add(-1), slots) // sent before the end: shows nothing
		b.Responded(end, slots)
	}
	if !b.Allows(end, 10*slots) {
		t.Error("the number of open requests stays bounded")
	}
}

func TestDrainCountsFromTheEarliestSign(t *testing.T) {
	const grace = 2 * time.Second
	var d eligibility.Drain
	if !d.Allows(origin, 0) {
		t.Error("an endpoint that has said nothing gets nothing")
	}
	if !d.Apply(origin.Add(time.Second)) || d.Apply(origin) || d.Apply(origin.Add(time.Second)) {
		t.Error("not only the first sign is told as the first")
	}
	if !d.Allows(origin.Add(grace-1), grace) || d.Allows(origin.Add(grace), grace) {
		t.Error("the grace period does not run from the earliest sign")
	}
}

func TestDrainIsAnnouncedAtIntervals(t *testing.T) {
	var d eligibility.Drain
	if !d.Announce(origin) || d.Announce(origin.Add(100*time.Millisecond)) || !d.Announce(origin.Add(time.Second)) {
		t.Error("it is not announced once in an interval")
	}
}
