package quarantine

import (
	"slices"
	"time"
)

const (
	// maxKnownEnds bounds the ends that are remembered, the oldest go first. Chosen, not
	// measured: of a fleet that loses 17 endpoints a day, two weeks'.
	maxKnownEnds = 256
	// maxRuns bounds the runs that are remembered of one end. Chosen: above the 48 to 64
	// requests that an engine runs at once and those that it lets wait. TestMemoryIsBounded
	// holds both: 32,768 contents, 8.9 MB (BenchmarkFullTable).
	maxRuns = 128
	// keepFor is how long an end counts. Chosen, not measured: beyond maxHold, so that what
	// ends an endpoint at each trial is not forgotten between two of them.
	keepFor = 2 * maxHold
	// maxUnanswered bounds the runs without an answer that are remembered. Chosen, not
	// measured.
	maxUnanswered = 1024
	// unansweredFor is how long a run that brought no answer, or whose caller left, may
	// still turn out to have been under way when its endpoint ended. Chosen, not measured:
	// until an endpoint that starts again has told of it.
	unansweredFor = 8 * time.Second
)

// Table is what one process knows of contents and ends. The zero value knows nothing. It
// is not safe for concurrent use.
type Table struct {
	ends       map[string]*end // by endpoint
	order      []string        // of ends, as they were told
	contents   map[Key]*content
	unanswered []unanswered // the oldest first
}

// end is one end of an endpoint.
type end struct {
	endpoint string
	at       time.Time
	from     uint64 // incarnation of the process that told of it first, 0 for this one
	runs     map[Key]run
}

// run is what is known of a content at an end.
type run struct {
	began   time.Time // of the last one, if the content was under way several times
	cleared bool      // the content ended well since
}

// content is a content against which something is held.
type content struct {
	key      Key
	ends     []*end    // by time, cleared ones left out
	rounds   int       // how many of them count, those that came together once
	toldEnds int       // that others counted, and wrote down or told
	trials   int       // of it since it is held
	until    time.Time // held until then, by others' word or since a trial is under way
}

// unanswered is a run that brought no answer.
type unanswered struct {
	Run
	endpoint string
	left     time.Time
}

// Empty tells whether nothing is held against any content.
func (t *Table) Empty() bool { return len(t.contents) == 0 }

// End takes in that an endpoint ended at a time with runs under way, as this process saw
// (from 0) or another one told. It returns the contents that are held since.
func (t *Table) End(endpoint string, at time.Time, from uint64, runs ...Run) []Key {
	e := t.ends[endpoint]
	if e == nil {
		e = t.addEnd(endpoint, at, from)
	}
	var held []Key
	for _, r := range runs {
		before := t.Verdict(at, r.Content).Held
		t.blame(e, r)
		if !before && t.Verdict(at, r.Content).Held {
			held = append(held, r.Content)
		}
	}
	return held
}

// addEnd remembers an end.
func (t *Table) addEnd(endpoint string, at time.Time, from uint64) *end {
	if t.ends == nil {
		t.ends = map[string]*end{}
	}
	if len(t.order) >= maxKnownEnds {
		t.forgetEnd(t.order[0])
	}
	e := &end{endpoint: endpoint, at: at, from: from, runs: map[Key]run{}}
	t.ends[endpoint] = e
	t.order = append(t.order, endpoint)
	return e
}

// blame holds an end against a content, unless it does already or the content ended well
// since.
func (t *Table) blame(e *end, r Run) {
	known, ok := e.runs[r.Content]
	switch {
	case !ok && len(e.runs) >= maxRuns:
		return
	case ok && (known.cleared || !r.Began.After(known.began)):
		return
	}
	e.runs[r.Content] = run{began: r.Began}
	c := t.content(r.Content)
	if !ok {
		at, _ := slices.BinarySearchFunc(c.ends, e.at, func(e *end, t time.Time) int { return e.at.Compare(t) })
		c.ends = slices.Insert(c.ends, at, e)
	}
	c.count()
}

// content returns that of a key.
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

// EndedWell takes in that a run of a content ended well, and clears it. It returns whether
// anything was held against it.
func (t *Table) EndedWell(k Key) bool {
	c := t.contents[k]
	if c == nil {
		return false
	}
	for _, e := range c.ends {
		e.runs[k] = run{began: e.runs[k].began, cleared: true}
	}
	delete(t.contents, k)
	return true
}

// Hold takes in that a content is held, after so many ends and trials, until a time: the last
// word counts.
func (t *Table) Hold(k Key, ends, trials int, until time.Time) {
	c := t.content(k)
	c.toldEnds = max(c.toldEnds, ends)
	c.trials = trials
	c.until = until
}

// Trials returns how often a content was tried since it is held.
func (t *Table) Trials(k Key) int {
	if c := t.contents[k]; c != nil {
		return c.trials
	}
	return 0
}

// Unanswered takes in that a run brought no answer, or that its caller left: should the
// endpoint turn out to have ended, the run was under way there.
func (t *Table) Unanswered(now time.Time, endpoint string, r Run) {
	t.unanswered = t.unanswered[t.lapsed(now):]
	if len(t.unanswered) >= maxUnanswered {
		t.unanswered = t.unanswered[1:]
	}
	t.unanswered = append(t.unanswered, unanswered{r, endpoint, now})
}

// lapsed returns how many of the runs without an answer are too old to count.
func (t *Table) lapsed(now time.Time) int {
	n := 0
	for n < len(t.unanswered) && now.Sub(t.unanswered[n].left) >= unansweredFor {
		n++
	}
	return n
}

// TakeUnanswered returns the runs at an endpoint that brought no answer lately, and
// forgets them.
func (t *Table) TakeUnanswered(now time.Time, endpoint string) []Run {
	var runs []Run
	t.unanswered = slices.DeleteFunc(t.unanswered[t.lapsed(now):], func(u unanswered) bool {
		if u.endpoint != endpoint {
			return false
		}
		runs = append(runs, u.Run)
		return true
	})
	return runs
}

// UnansweredAt returns the endpoints at which runs brought no answer lately.
func (t *Table) UnansweredAt(now time.Time) []string {
	var all []string
	for _, u := range t.unanswered[t.lapsed(now):] {
		if !slices.Contains(all, u.endpoint) {
			all = append(all, u.endpoint)
		}
	}
	return all
}

// Expire forgets what is too old to count.
func (t *Table) Expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.ends[t.order[0]].at) >= keepFor {
		t.forgetEnd(t.order[0])
	}
	for k, c := range t.contents {
		if len(c.ends) == 0 && now.Sub(c.until) >= keepFor {
			delete(t.contents, k)
		}
	}
}

// forgetEnd forgets the end that was told first.
func (t *Table) forgetEnd(endpoint string) {
	gone := t.ends[endpoint]
	delete(t.ends, endpoint)
	t.order = t.order[1:]
	for k := range gone.runs {
		c := t.contents[k]
		if c == nil {
			continue
		}
		c.ends = slices.DeleteFunc(c.ends, func(e *end) bool { return e == gone })
		c.count()
		if len(c.ends) == 0 && c.toldEnds == 0 {
			delete(t.contents, k)
		}
	}
}
