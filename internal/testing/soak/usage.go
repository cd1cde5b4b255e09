package soak

import (
	"context"
	"fmt"
	"maps"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// Bounds of the duties, as the entries are told.
const (
	usageWindowS = 1
	alternateMS  = 1000
	thawMS       = 300
	minLeaseMS   = 1000
)

// thawSlack is how long after a disturbance a call with a lower fence is excused where the
// platform does not look at fences: the process may have stood still before it was sent.
const thawSlack = thawMS*time.Millisecond + reportTime

// reportTime is how long an entry waits for the answer to a report.
const reportTime = 1500 * time.Millisecond

// checkUsage holds the reports of usage to what may be reported: one count for a window, one
// holder for a fence, no fence that falls, and no more requests than ran. The history is
// locked.
func (h *history) checkUsage(reports []platformtest.Report) {
	taken := map[int64]map[string]int64{}
	holders := map[uint64]string{}
	highest := uint64(0)
	billed := int64(0)
	for _, r := range reports {
		if holder, known := holders[r.Fence]; known && holder != r.Holder {
			h.found(OneReport, "", "the fence %d is that of %s and of %s", r.Fence, holder, r.Holder)
		}
		holders[r.Fence] = r.Holder
		if r.Fence < highest && !r.Refused && !h.disturbedBefore(r.At, thawSlack) {
			h.found(OneReport, "", "%s reports with fence %d after %d", r.Holder, r.Fence, highest)
		}
		highest = max(highest, r.Fence)
		if r.Refused {
			continue
		}
		before, known := taken[r.Window]
		if known && !maps.Equal(before, r.Counts) {
			h.found(OneReport, "", "window %d is reported as %v, then as %v", r.Window, before, r.Counts)
		}
		if !known {
			taken[r.Window] = r.Counts
			for _, n := range r.Counts {
				billed += n
			}
		}
	}
	if ran := int64(len(h.runs)); billed > ran {
		h.found(OneReport, "", "%d requests are reported, and %d ran", billed, ran)
	}
}

// disturbedBefore tells whether something delayed entries shortly before a time. The history
// is locked.
func (h *history) disturbedBefore(at time.Time, within time.Duration) bool {
	for _, disturbed := range h.disturbed {
		if disturbed.Before(at) && at.Sub(disturbed) < within {
			return true
		}
	}
	return false
}

// awaitReport waits until usage is reported anew.
func (d *deployment) awaitReport(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, calmFor)
	defer cancel()
	began := time.Now()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		if taken := d.reports.Taken(); len(taken) > 0 && taken[len(taken)-1].At.After(began) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("soak: no usage is reported")
		case <-ticker.C:
		}
	}
}

// reportsFail lets the platform fail to take reports in one way, and work again.
func reportsFail(d *deployment, amount float64) {
	ways := []platformtest.Fault{platformtest.Busy, platformtest.Many, platformtest.Reset, platformtest.Silent}
	d.reports.SetFault(ways[int(amount*float64(len(ways)))%len(ways)])
	time.Sleep(lasting(amount, longestOutage))
	d.reports.SetFault(platformtest.Sound)
}
