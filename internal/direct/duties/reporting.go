package duties

import (
	"context"
	"errors"
	"time"

	"foxcross.dev/coord/duty"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
)

// reportRetryInterval is the time after a failed report until it is sent again.
const reportRetryInterval = 400 * time.Millisecond

// usageReporter sends the reports of written windows. It is used by one goroutine.
type usageReporter struct {
	*Duties
	retryAt time.Time
}

// report sends the reports that are due, oldest first, until one fails.
func (r *usageReporter) report(ctx context.Context) {
	if steady.Now().Before(r.retryAt) {
		return
	}
	for _, w := range r.unreported() {
		if err := r.send(ctx, w); err != nil {
			r.retryAt = steady.Now().Add(reportRetryInterval)
			return
		}
	}
}

// unreported returns the windows that are written and not reported, none while this entry may not
// act as the holder.
func (r *usageReporter) unreported() []duty.Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.election.Lease.MayAct(steady.Now()) {
		return nil
	}
	return r.ledger.Unreported()
}

// send sends the report of one window. The lease is checked right before the call, and again once a
// connection is established, by a reading of the clock that is never behind: a holder whose machine
// was suspended before either check must not send (TestSuspendedHolderSendsNothing).
func (r *usageReporter) send(ctx context.Context, w duty.Window) error {
	r.mu.Lock()
	lease := r.election.Lease
	counts := r.ledger.Account(w).Closed
	r.mu.Unlock()
	mayAct := func() bool { return lease.MayAct(steady.Exact()) }
	if !mayAct() {
		return driver.ErrNotHeld
	}
	r.metrics.Counter("usage_reports_sent").Inc(1)
	err := r.options.Reporter.ReportUsage(ctx, driver.Holder{Name: r.options.Name, Fence: lease.Fence, MayAct: mayAct}, int64(w), counts)
	logger := log.With("window", w.String()).With("fence", lease.Fence)
	switch {
	case err == nil:
		r.mu.Lock()
		r.ledger.MarkReported(w)
		r.mu.Unlock()
		r.metrics.Counter("usage_reports_accepted").Inc(1)
		logger.With("requests", counts.Total()).With("after_ms", r.trueTime().Sub(w.End(r.options.Terms.UsageWindow)).Milliseconds()).
			Info("Reported the usage of a window.")
	case errors.Is(err, driver.ErrFenced):
		r.metrics.Counter("usage_reports_fenced").Inc(1)
		logger.Warnf("The platform has seen a higher fence; giving up the duties.")
		if err := r.options.Records.End(ctx, lease.ID); err != nil {
			logger.With("reason", err.Error()).Warnf("Cannot end the lease of the duties; waiting for it to expire.")
		}
		r.recordLoss(lease.Fence, "the platform has seen a higher fence")
	default:
		r.metrics.Counter("usage_reports_failed").Inc(1)
		logger.With("reason", err.Error()).WarnLimited("report", "Cannot report the usage of a window; retrying.")
	}
	return err
}
