package duties

import (
	"context"
	"errors"
	"time"

	"foxcross.dev/coord/duty"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/storeerr"
)

const (
	// openWriteInterval is the time between two writes of the records of open windows. If all
	// entries lose power at once, the counts since the last write are lost.
	openWriteInterval = 500 * time.Millisecond
	// maxRecordBytesPerSecond bounds the writes of open windows: larger records are written less
	// often. A record of 28 entries takes 20 KB, one of 620 entries and 110,000 requests 620 KB.
	maxRecordBytesPerSecond = 64 << 10
	// writeRetryInterval is the time after a failed call until the next one.
	writeRetryInterval = 400 * time.Millisecond
	// maxAccountsPerUpdate is the most windows of one update. An update has at most 32
	// conditions and operations, two for each window and one for the holder.
	maxAccountsPerUpdate = 15
)

// recordWriter writes the records of windows while this entry holds the duties. It is used by one
// goroutine.
type recordWriter struct {
	*Duties
	loadedFence   uint64                 // fence under which the records were read, 0 for none
	revisions     map[duty.Window]uint64 // of the records
	nextOpenWrite time.Time              // next write of open windows
	retryAt       time.Time
}

// writeDue writes the records that are due.
func (r *recordWriter) writeDue(ctx context.Context) {
	now := steady.Now()
	lease, leaving := r.lease()
	if !lease.Held(now) {
		r.loadedFence = 0
		return
	}
	if now.Before(r.retryAt) {
		return
	}
	if err := r.step(ctx, lease, leaving, now); err != nil {
		r.loadedFence = 0 // the records may have changed: load them again
		r.retryAt = steady.Now().Add(writeRetryInterval)
		log.With("reason", err.Error()).WarnLimited("keep", "Cannot read or write the usage records; retrying.")
		if errors.Is(err, driver.ErrConflict) {
			r.checkHolder(ctx, lease)
		}
	}
}

// step loads the records of an earlier holder once, and writes the changed accounts. An entry that
// is leaving writes all of them at once and ends the lease.
func (r *recordWriter) step(ctx context.Context, lease duty.Lease, leaving bool, now time.Time) error {
	if r.loadedFence != lease.Fence {
		if err := r.load(ctx); err != nil {
			return err
		}
		r.loadedFence = lease.Fence
	}
	if err := r.write(ctx, lease, leaving || !now.Before(r.nextOpenWrite)); err != nil {
		return err
	}
	if leaving {
		err := r.options.Records.End(ctx, lease.ID)
		r.recordLoss(lease.Fence, "this entry is leaving")
		return err
	}
	return nil
}

// load reads the records that an earlier holder has written.
func (r *recordWriter) load(ctx context.Context) error {
	all, err := r.options.Records.List(ctx, usagePrefix)
	if err != nil {
		return err
	}
	r.revisions = map[duty.Window]uint64{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range all {
		w, err := windowOf(record.Key)
		if err != nil {
			log.With("key", record.Key).With("reason", err.Error()).WarnLimited("key", "Ignoring a usage record whose key holds no window.")
			continue
		}
		r.revisions[w] = record.Revision
		a, err := decodeAccount(record.Value)
		if err != nil {
			log.With("window", w.String()).With("reason", err.Error()).WarnLimited("record", "Cannot decode a usage record; using the counts that entries state for the window.")
			continue
		}
		r.ledger.Restore(w, a)
	}
	return nil
}

// accountWrite is the write of a window's account to the store.
type accountWrite struct {
	window    duty.Window
	account   duty.Account
	isClosing bool
}

// write closes the windows that may be closed and, if withOpen is set, writes the changed accounts
// of the others.
func (r *recordWriter) write(ctx context.Context, lease duty.Lease, withOpen bool) error {
	due, finished := r.due(withOpen)
	if len(due) == 0 && len(finished) == 0 {
		return nil
	}
	bytes := 0
	u := driver.Update{Conditions: []driver.Condition{{Key: holderKey, Revision: lease.Fence}}}
	for _, x := range due {
		value, err := encodeAccount(x.account)
		if err != nil {
			return err
		}
		bytes += len(value)
		key := usageKey(x.window)
		u.Conditions = append(u.Conditions, driver.Condition{Key: key, Revision: r.revisions[x.window]})
		u.Put = append(u.Put, driver.Record{Key: key, Value: value})
	}
	for _, w := range finished {
		u.Remove = append(u.Remove, usageKey(w))
	}
	startedAt := steady.Now()
	revision, err := r.options.Records.Update(ctx, u)
	if err != nil {
		return err
	}
	if withOpen {
		r.nextOpenWrite = startedAt.Add(max(openWriteInterval, time.Duration(bytes)*time.Second/maxRecordBytesPerSecond))
	}
	r.applyUpdate(due, finished, revision)
	return nil
}

// due returns the accounts to write now, and the windows whose records are no longer needed.
func (r *recordWriter) due(withOpen bool) (due []accountWrite, finished []duty.Window) {
	now := r.trueTime()
	live := r.options.Group.Owners()
	r.mu.Lock()
	defer r.mu.Unlock()
	closing := map[duty.Window]bool{}
	for _, w := range r.ledger.Closable(now, live) {
		closing[w] = true
		due = append(due, accountWrite{window: w, account: duty.Account{Closed: r.ledger.Account(w).Sum()}, isClosing: true})
	}
	if withOpen {
		for _, w := range r.ledger.Unwritten() {
			if !closing[w] {
				due = append(due, accountWrite{window: w, account: r.ledger.Account(w).Clone()})
			}
		}
	}
	finished = r.ledger.Finished(now)
	return due[:min(len(due), maxAccountsPerUpdate)], finished[:min(len(finished), maxAccountsPerUpdate-min(len(due), maxAccountsPerUpdate))]
}

// applyUpdate records the result of a successful update.
func (r *recordWriter) applyUpdate(due []accountWrite, finished []duty.Window, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range due {
		r.revisions[x.window] = revision
		if !x.isClosing {
			r.ledger.MarkWritten(x.window, x.account)
			continue
		}
		r.ledger.Close(x.window, x.account.Closed)
		r.metrics.Counter("usage_windows_written").Inc(1)
		log.With("window", x.window.String()).With("teams", len(x.account.Closed)).With("requests", x.account.Closed.Total()).
			Info("Wrote the usage of a window.")
	}
	for _, w := range finished {
		delete(r.revisions, w)
		r.ledger.Delete(w)
	}
}

// checkHolder gives up the duties if the holder's record is no longer that of this entry.
func (r *recordWriter) checkHolder(ctx context.Context, lease duty.Lease) {
	found, err := r.options.Records.Read(ctx, holderKey)
	switch {
	case errors.Is(err, storeerr.ErrNotFound):
		r.recordLoss(lease.Fence, "the holder's record no longer exists")
	case err == nil && found.Revision != lease.Fence:
		r.recordLoss(lease.Fence, "another entry holds the duties")
	}
}
