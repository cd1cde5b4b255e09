package soak

import (
	"context"
	"fmt"
	"maps"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// Bounds of the duties in the settings of the entries.
const (
	usageWindowS = 1
	dutyLeaseMS  = 1000
	thawMS       = 300
	minLeaseMS   = 1000
)

// staleReportSlack is the time after a disturbance during which a call with a lower fence is excused
// if the platform does not check fences: the process may have been frozen before it sent the call.
const staleReportSlack = thawMS*time.Millisecond + reportTimeout

// reportTimeout is the longest time that an entry waits for the response to a report.
const reportTimeout = 1500 * time.Millisecond

// checkUsage checks the reports of usage: one count for a window, one holder for a fence, no
// decreasing fence, and no more requests than ran. history.mu must be held.
func (h *history) checkUsage(reports []platformtest.Report) {
	accepted := map[int64]map[string]int64{}
	holders := map[uint64]string{}
	highest := uint64(0)
	reported := int64(0)
	for _, r := range reports {
		if holder, known := holders[r.Fence]; known && holder != r.Holder {
			h.addViolation(UsageReportedOnce, "", "fence %d is held by %s and by %s", r.Fence, holder, r.Holder)
		}
		holders[r.Fence] = r.Holder
		if r.Fence < highest && !r.Refused && !h.disturbedBefore(r.At, staleReportSlack) {
			h.addViolation(UsageReportedOnce, "", "%s reports with fence %d after %d", r.Holder, r.Fence, highest)
		}
		highest = max(highest, r.Fence)
		if r.Refused {
			continue
		}
		previous, known := accepted[r.Window]
		if known && !maps.Equal(previous, r.Counts) {
			h.addViolation(UsageReportedOnce, "", "window %d is reported as %v, then as %v", r.Window, previous, r.Counts)
		}
		if !known {
			accepted[r.Window] = r.Counts
			for _, n := range r.Counts {
				reported += n
			}
		}
	}
	if ran := int64(len(h.runs)); reported > ran {
		h.addViolation(UsageReportedOnce, "", "%d requests are reported, and %d ran", reported, ran)
	}
}

// disturbedBefore reports whether a disturbance precedes a time by less than within. history.mu
// must be held.
func (h *history) disturbedBefore(at time.Time, within time.Duration) bool {
	for _, disturbed := range h.disturbances {
		if disturbed.Before(at) && at.Sub(disturbed) < within {
			return true
		}
	}
	return false
}

// awaitReport waits for a new report of usage.
func (d *deployment) awaitReport(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	began := time.Now()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		if taken := d.reports.Received(); len(taken) > 0 && taken[len(taken)-1].At.After(began) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("soak: no usage was reported")
		case <-ticker.C:
		}
	}
}

// failReports makes the platform fail to accept reports in one way for a time.
func failReports(d *deployment, amount float64) {
	faults := []platformtest.Fault{platformtest.Busy, platformtest.TooManyRequests, platformtest.Reset, platformtest.Silent}
	d.reports.SetFault(faults[int(amount*float64(len(faults)))%len(faults)])
	time.Sleep(faultDuration(amount, extraOutage))
	d.reports.SetFault(platformtest.NoFault)
}
