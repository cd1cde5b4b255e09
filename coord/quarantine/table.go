package quarantine

import (
	"slices"
	"time"
)

const (
	// maxKnownCrashes bounds the stored crashes; the oldest are removed first. A fleet that loses
	// 17 endpoints a day has as many in two weeks.
	maxKnownCrashes = 256
	// maxRuns bounds the stored runs of one crash. It is above the 48 to 64 requests that an
	// engine runs concurrently plus those that it queues. Both bounds together allow
	// 32,768 contents (TestMemoryIsBounded, BenchmarkFullTable).
	maxRuns = 128
	// retention is how long a crash counts. It is longer than maxHold, so that the crashes of a
	// content that crashes an endpoint at each trial still count at the next one.
	retention = 2 * maxHold
	// maxUnanswered bounds the stored runs without a response.
	maxUnanswered = 1024
	// unansweredRetention is how long a run without a response, or one whose caller
	// disconnected, may still turn out to have been in progress at a crash of its endpoint. A
	// restarted endpoint has reported the crash within this time.
	unansweredRetention = 8 * time.Second
)

// Table is the state that one process has of contents and crashes. The zero value is empty. It
// is not safe for concurrent use.
type Table struct {
	crashes    map[string]*crash // by endpoint
	order      []string          // keys of crashes, in the order of their first reports
	contents   map[Key]*content
	unanswered []unanswered  // oldest first
	begins     map[Key]begin // of parts that were suspect

	combinations []combination // of suspect parts, oldest first
}

// crash is one crash of an endpoint.
type crash struct {
	endpoint string
	at       time.Time
	from     uint64 // incarnation of the process that reported it first, 0 for this one
	runs     map[Key]run
}

// run combines the runs of a content in progress at a crash.
type run struct {
	started      time.Time // latest start, if the content had several runs
	knownCrashes int       // highest KnownCrashes of the runs
	source       Source    // of the latest run, 0 unless the key is that of a part
	cleared      bool      // the content has succeeded since
}

// content is the state of a content with crashes or a hold.
type content struct {
	key             Key
	crashes         []*crash  // by time, without cleared ones
	counted         int       // number of crashes that count
	reportedCrashes int       // crashes counted by other processes, as stored or reported by them
	trials          int       // since it is held
	until           time.Time // end of a hold reported by another process, or of a trial
	probe           openProbe // of a part on probation
}

// unanswered is a run without a response.
type unanswered struct {
	Run
	endpoint string
	endedAt  time.Time
}

// Empty reports whether there is no crash or hold of any content.
func (t *Table) Empty() bool { return len(t.contents) == 0 }

// RecordCrash records a crash of an endpoint with runs in progress. from is the incarnation of the
// process that reported it, 0 for this one. It returns the contents that are held as a result.
func (t *Table) RecordCrash(endpoint string, at time.Time, from uint64, runs ...Run) []Key {
	x := t.crashes[endpoint]
	if x == nil {
		x = t.addCrash(endpoint, at, from)
	}
	var held []Key
	for _, r := range runs {
		r.Started = r.Started.Add(x.at.Sub(at)) // a repeated report has a later crash time, so its runs are shifted by the difference
		before := t.Verdict(at, r.Content).Held
		t.addRun(x, r)
		if !before && t.Verdict(at, r.Content).Held {
			held = append(held, r.Content)
		}
	}
	t.recordFailedTrials(x.at, endpoint, runs)
	return held
}

// addCrash stores a crash.
func (t *Table) addCrash(endpoint string, at time.Time, from uint64) *crash {
	if t.crashes == nil {
		t.crashes = map[string]*crash{}
	}
	if len(t.order) >= maxKnownCrashes {
		t.removeCrash(t.order[0])
	}
	x := &crash{endpoint: endpoint, at: at, from: from, runs: map[Key]run{}}
	t.crashes[endpoint] = x
	t.order = append(t.order, endpoint)
	return x
}

// addRun counts a crash against the content of a run, unless it is counted already or the content
// has succeeded since.
func (t *Table) addRun(x *crash, r Run) {
	former, ok := x.runs[r.Content]
	switch {
	case !ok && len(x.runs) >= maxRuns:
		return
	case former.cleared:
		return
	}
	if former.started.After(r.Started) {
		r.Started, r.Source = former.started, former.source
	}
	if r.Content.IsPart() {
		t.revokeBegin(r.Content, x)
	}
	x.runs[r.Content] = run{started: r.Started, knownCrashes: max(former.knownCrashes, r.KnownCrashes), source: r.Source}
	c := t.content(r.Content)
	c.probe = openProbe{}
	if !ok {
		c.insert(x)
	}
	c.recount()
}

// insert adds a crash.
func (c *content) insert(x *crash) {
	at, _ := slices.BinarySearchFunc(c.crashes, x.at, func(x *crash, t time.Time) int { return x.at.Compare(t) })
	c.crashes = slices.Insert(c.crashes, at, x)
}

// content returns the state of a content. It creates the state if there is none.
func (t *Table) content(k Key) *content {
	if t.contents == nil {
		t.contents = map[Key]*content{}
	}
	c := t.contents[k]
	if c == nil {
		c = &content{key: k}
		t.contents[k] = c
	}
	return c
}

// RecordSuccess records a successful run of a content, and clears its crashes and hold. It reports
// whether there were any.
func (t *Table) RecordSuccess(k Key) bool {
	t.removeFromCombinations(k)
	c := t.contents[k]
	if c == nil {
		return false
	}
	for _, x := range c.crashes {
		x.runs[k] = run{cleared: true}
	}
	delete(t.contents, k)
	return true
}

// Hold records that another process holds a content until a time, after so many crashes and
// trials. The last call sets the end and the trials.
func (t *Table) Hold(k Key, crashes, trials int, until time.Time) {
	c := t.content(k)
	c.reportedCrashes = max(c.reportedCrashes, crashes)
	c.trials = trials
	c.until = until
}

// RecordTrial records a trial of a held content. trials is the number of its trials, this one
// included; another trial may start at the time until.
func (t *Table) RecordTrial(k Key, trials int, until time.Time) {
	c := t.content(k)
	c.trials = trials
	c.until = until
}

// RecordUnanswered records a run that ended without a response, or whose caller disconnected. If
// the endpoint turns out to have crashed, the run was in progress there.
func (t *Table) RecordUnanswered(now time.Time, endpoint string, r Run) {
	t.unanswered = t.unanswered[t.expired(now):]
	if len(t.unanswered) >= maxUnanswered {
		t.unanswered = t.unanswered[1:]
	}
	t.unanswered = append(t.unanswered, unanswered{r, endpoint, now})
}

// expired returns the number of runs without a response that are too old to count.
func (t *Table) expired(now time.Time) int {
	n := 0
	for n < len(t.unanswered) && now.Sub(t.unanswered[n].endedAt) >= unansweredRetention {
		n++
	}
	return n
}

// TakeUnanswered removes and returns the recent runs without a response at an endpoint.
func (t *Table) TakeUnanswered(now time.Time, endpoint string) []Run {
	var runs []Run
	t.unanswered = slices.DeleteFunc(t.unanswered[t.expired(now):], func(u unanswered) bool {
		if u.endpoint != endpoint {
			return false
		}
		runs = append(runs, u.Run)
		return true
	})
	return runs
}

// UnansweredAt returns the endpoints with recent runs without a response.
func (t *Table) UnansweredAt(now time.Time) []string {
	var all []string
	for _, u := range t.unanswered[t.expired(now):] {
		if !slices.Contains(all, u.endpoint) {
			all = append(all, u.endpoint)
		}
	}
	return all
}

// Expire removes crashes and holds that are too old to count.
func (t *Table) Expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.crashes[t.order[0]].at) >= retention {
		t.removeCrash(t.order[0])
	}
	t.expireBegins(now)
	t.expireCombinations(now)
	for k, c := range t.contents {
		if len(c.crashes) == 0 && now.Sub(c.until) >= retention {
			delete(t.contents, k)
		}
	}
}

// removeCrash removes a crash, which has to be the first in order.
func (t *Table) removeCrash(endpoint string) {
	removed := t.crashes[endpoint]
	delete(t.crashes, endpoint)
	t.order = t.order[1:]
	for k := range removed.runs {
		c := t.contents[k]
		if c == nil {
			continue
		}
		c.crashes = slices.DeleteFunc(c.crashes, func(x *crash) bool { return x == removed })
		c.recount()
		if len(c.crashes) == 0 && c.reportedCrashes == 0 {
			delete(t.contents, k)
		}
	}
}
