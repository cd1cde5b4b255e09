package quarantine_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"foxcross.dev/coord/quarantine"
)

const (
	partService   = "pool"
	modelDeadly   = uint64(1)             // the part that crashes endpoints
	modelDeadly2  = uint64(2)             // another one
	modelSubjects = 40                    // parts that some sound requests share
	modelFirst    = 60 * time.Millisecond // mean time to a first event, after minModelFirst
	minModelFirst = 20 * time.Millisecond
	modelContact  = 3 * time.Second        // after which all entries have every report
	modelWait     = 500 * time.Millisecond // for which a request waits for another's outcome
	modelPoll     = 5 * time.Millisecond   // between two looks
	modelRestart  = 3 * time.Second        // from a crash to the restart
	partModelTime = 30 * time.Second       // of each run of the model
	modelEvent    = 2 * time.Millisecond   // mean delay of an event
)

// partModel simulates entries, endpoints and requests with prompt parts in virtual time.
type partModel struct {
	model
	runs    int                 // begun so far
	running []map[*partRun]bool // by endpoint
	deadly  []uint64
	silent  bool                             // runs with a deadly part send no event before their endpoint ends
	first   time.Duration                    // mean time to a first event, after minModelFirst
	claims  map[quarantine.Key]time.Duration // ends of open trials, as the store has them
	crashes map[uint64][]time.Duration
	sends   map[uint64][]time.Duration
	sound   partCount          // in the whole run
	late    map[bool]partCount // sound requests after the second contact time, by whether they share a subject
}

// partCount counts requests and those that were sent at once or after a wait.
type partCount struct{ requested, sent int }

// partRun is one run of a request.
type partRun struct {
	parts   []uint64
	source  quarantine.Source
	entry   int
	started time.Duration
	known   []int
	trial   quarantine.Key // held part that the run tries
	number  uint64
	wrote   bool
	wroteAt time.Duration
}

func newPartModel(seed uint64, entries, endpoints int, loss float64, deadly ...uint64) *partModel {
	m := &partModel{
		model:  model{random: rand.New(rand.NewPCG(seed, 63)), loss: loss, tables: make([]quarantine.Table, entries)},
		deadly: deadly, silent: true, first: modelFirst, claims: map[quarantine.Key]time.Duration{}, crashes: map[uint64][]time.Duration{}, sends: map[uint64][]time.Duration{}, late: map[bool]partCount{},
	}
	for n := range endpoints {
		m.endpoints = append(m.endpoints, &modelEndpoint{number: n})
		m.running = append(m.running, map[*partRun]bool{})
	}
	return m
}

// broadcast has all other entries apply an event, except those that lose it.
func (m *partModel) broadcast(entry int, apply func(t *quarantine.Table)) {
	for other := range m.tables {
		if other != entry && m.random.Float64() >= m.loss {
			m.after(time.Duration((0.5+m.random.ExpFloat64())*float64(modelEvent)), func() { apply(&m.tables[other]) })
		}
	}
}

// broadcastRepeatedly repeats the report of a crash.
func (m *partModel) broadcastRepeatedly(entry int, apply func(t *quarantine.Table, age time.Duration)) {
	for _, age := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
		m.after(age, func() { m.broadcast(entry, func(t *quarantine.Table) { apply(t, age) }) })
	}
}

// ask sends a request from an entry, or has it wait until end.
func (m *partModel) ask(entry int, shared []uint64, end time.Duration, counted func(sent bool)) {
	t := &m.tables[entry]
	now := m.clock()
	var known []int
	var keys []quarantine.Key
	var trial quarantine.Key
	wait := false
	for _, id := range shared {
		k := quarantine.PartKey(partService, id)
		keys = append(keys, k)
		v := t.Verdict(now, k)
		known = append(known, v.Crashes)
		wait = wait || v.ProbeOpen
		if v.Held && v.Remaining > 0 {
			counted(false)
			return
		}
		if v.Held && trial == (quarantine.Key{}) {
			trial = k
		}
	}
	if trial != (quarantine.Key{}) {
		if m.claims[trial] > m.now || t.CombinationHold(now, t.Suspects(now, keys)) > 0 {
			counted(false)
			return
		}
		m.claims[trial] = m.now + quarantine.TrialInterval
		counted(true)
		m.send(entry, shared, known, trial)
		return
	}
	switch {
	case wait && m.now >= end:
		counted(false)
		return
	case wait:
		m.after(modelPoll, func() { m.ask(entry, shared, end, counted) })
		return
	}
	counted(true)
	m.send(entry, shared, known, trial)
}

// send starts a run at a random endpoint.
func (m *partModel) send(entry int, shared []uint64, known []int, trial quarantine.Key) {
	var up []int
	for n, e := range m.endpoints {
		if e.restartAt <= m.now {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return
	}
	at := up[m.random.IntN(len(up))]
	m.runs++
	r := &partRun{parts: shared, source: quarantine.Source(m.runs), entry: entry, started: m.now, known: known, trial: trial, number: uint64(m.runs)}
	probe := quarantine.Probe{Owner: uint64(entry) + 1, Number: r.number}
	record := func(t *quarantine.Table) {
		for _, id := range shared {
			t.RecordProbe(m.clock(), quarantine.PartKey(partService, id), probe)
		}
	}
	record(&m.tables[entry])
	m.broadcast(entry, record)
	for _, id := range shared {
		m.sends[id] = append(m.sends[id], m.now)
	}
	m.running[at][r] = true
	m.after(minModelFirst+time.Duration(m.random.ExpFloat64()*float64(m.first)), func() { m.firstEvent(at, r) })
}

// firstEvent has a run begin to write: its endpoint ends if one of its parts is deadly.
func (m *partModel) firstEvent(at int, r *partRun) {
	if !m.running[at][r] {
		return
	}
	deadly := slices.IndexFunc(r.parts, func(id uint64) bool { return slices.Contains(m.deadly, id) })
	if deadly < 0 || !m.silent {
		r.wrote, r.wroteAt = true, m.now
		endpoint := m.endpointName(at)
		begin := func(t *quarantine.Table) {
			for _, id := range r.parts {
				t.RecordBegin(m.clock(), endpoint, quarantine.PartKey(partService, id))
			}
		}
		begin(&m.tables[r.entry])
		m.broadcast(r.entry, begin)
	}
	if deadly < 0 {
		m.after(time.Duration(m.random.ExpFloat64()*float64(modelRunTime)), func() { delete(m.running[at], r) })
		return
	}
	m.crashes[r.parts[deadly]] = append(m.crashes[r.parts[deadly]], m.now)
	m.crashAt(at)
}

func (m *partModel) endpointName(at int) string { return fmt.Sprint(at, "@", m.endpoints[at].starts) }

// crashAt ends an endpoint with all its runs, and has their entries report it.
func (m *partModel) crashAt(at int) {
	name := m.endpointName(at)
	e := m.endpoints[at]
	e.starts++
	e.restartAt = m.now + modelRestart
	runs := m.running[at]
	m.running[at] = map[*partRun]bool{}
	byEntry := map[int][]quarantine.Run{}
	when := m.clock()
	for r := range runs {
		delete(m.claims, r.trial)
		if r.wrote && m.now-r.wroteAt > 100*time.Millisecond {
			continue
		}
		for n, id := range r.parts {
			byEntry[r.entry] = append(byEntry[r.entry], quarantine.Run{
				Content: quarantine.PartKey(partService, id), Started: start.Add(r.started), KnownCrashes: r.known[n], Source: r.source,
			})
		}
	}
	for entry := range m.tables { // in an order that does not depend on the map's
		list := byEntry[entry]
		if len(list) == 0 {
			continue
		}
		slices.SortFunc(list, func(a, b quarantine.Run) int { return a.Started.Compare(b.Started) })
		m.tables[entry].RecordCrash(name, when, 0, list...)
		report := quarantine.PartCrashReport{Endpoint: name, From: uint64(entry) + 1}
		for _, r := range list {
			report.Runs = append(report.Runs, quarantine.PartReportOf(r, when))
		}
		m.broadcastRepeatedly(entry, func(t *quarantine.Table, age time.Duration) {
			aged := report
			aged.AgeMS = age.Milliseconds()
			t.ApplyPartCrash(m.clock(), aged)
		})
	}
}

// play runs sound and deadly requests, losses of racks, and restarts of entries.
func (m *partModel) play(deadlyPerSecond, soundPerSecond float64) {
	anyEntry := func() int { return m.random.IntN(len(m.tables)) }
	m.repeat(deadlyPerSecond, func() {
		id := m.deadly[m.random.IntN(len(m.deadly))]
		shared := []uint64{100, id}
		if m.random.IntN(2) == 0 {
			shared = []uint64{100, uint64(200 + m.random.IntN(modelSubjects)), id}
		}
		m.ask(anyEntry(), shared, m.now+modelWait, func(bool) {})
	})
	m.repeat(soundPerSecond, func() {
		shared := []uint64{100}
		subject := m.random.IntN(2) == 0
		if subject {
			shared = append(shared, uint64(200+m.random.IntN(modelSubjects)))
		}
		first := m.crashes[m.deadly[0]]
		late := len(first) > 0 && m.now > first[min(len(first), 5)-1]+2*modelContact
		m.ask(anyEntry(), shared, m.now+modelWait, func(sent bool) {
			m.count(&m.sound, sent)
			if late {
				c := m.late[subject]
				m.count(&c, sent)
				m.late[subject] = c
			}
		})
	})
	m.repeat(0.15, func() { // the loss of a rack
		for _, at := range m.random.Perm(len(m.endpoints))[:len(m.endpoints)/6] {
			if m.endpoints[at].restartAt <= m.now {
				m.crashAt(at)
			}
		}
	})
	m.repeat(0.1, func() { // an entry that starts, with the snapshot of another
		entry := anyEntry()
		from := m.tables[(entry+1)%len(m.tables)].Snapshot(m.clock(), 1)
		m.tables[entry] = quarantine.Table{}
		m.tables[entry].Merge(m.clock(), from)
	})
	m.run(partModelTime)
}

func (m *partModel) count(c *partCount, sent bool) {
	c.requested++
	if sent {
		c.sent++
	}
}

// repeat calls do at a mean rate.
func (m *partModel) repeat(perSecond float64, do func()) {
	var next func()
	next = func() {
		do()
		m.after(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	m.after(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second)), next)
}

// sentLate returns how often a part was sent later than the contact time after its fifth crash.
func (m *partModel) sentLate(id uint64) int {
	if len(m.crashes[id]) < 5 {
		return 0
	}
	n := 0
	for _, at := range m.sends[id] {
		if at > m.crashes[id][4]+modelContact {
			n++
		}
	}
	return n
}

// partSeeds is the number of runs of each case.
var partSeeds = flag.Uint64("part-seeds", 5, "runs of each case of TestPartModelBoundsSends")

// partCases are fleets, the rate of requests with deadly parts, and the share of datagrams lost.
var partCases = []struct {
	name               string
	entries, endpoints int
	deadly             float64
	loss               float64
	parts              []uint64
	writes             bool          // the first event arrives before the endpoint ends
	first              time.Duration // mean time to a first event
}{
	{"one a second", 5, 18, 1, 0, []uint64{modelDeadly}, false, modelFirst},
	{"sixty a second", 5, 18, 60, 0, []uint64{modelDeadly}, false, modelFirst},
	{"sixty a second, one in twenty lost", 5, 18, 60, 0.05, []uint64{modelDeadly}, false, modelFirst},
	{"many entries", 28, 60, 60, 0.05, []uint64{modelDeadly}, false, modelFirst},
	{"two parts", 5, 18, 20, 0.05, []uint64{modelDeadly, modelDeadly2}, false, modelFirst},
	{"after a first event", 5, 18, 20, 0.05, []uint64{modelDeadly}, true, modelFirst},
	{"first events after 300 ms", 5, 18, 20, 0.05, []uint64{modelDeadly}, false, 300 * time.Millisecond},
	{"first events after 800 ms", 5, 18, 20, 0.05, []uint64{modelDeadly}, false, 800 * time.Millisecond},
	{"first events after 2 s", 5, 18, 20, 0.05, []uint64{modelDeadly}, false, 2 * time.Second},
}

// TestPartModelBoundsSends guards against sends that go on after five crashes under a part.
func TestPartModelBoundsSends(t *testing.T) {
	const (
		maxSends  = 3
		minServed = 0.9
	)
	for _, c := range partCases {
		t.Run(c.name, func(t *testing.T) {
			crashes, late, served := 0, 0, 1.0
			for seed := range *partSeeds {
				m := newPartModel(seed, c.entries, c.endpoints, c.loss, c.parts...)
				m.silent = !c.writes
				m.first = c.first
				m.play(c.deadly, 150)
				for _, id := range c.parts {
					crashes = max(crashes, len(m.crashes[id]))
					late = max(late, m.sentLate(id))
				}
				for _, n := range m.late {
					served = min(served, float64(n.sent)/float64(n.requested))
				}
			}
			t.Logf("at most %d crashes under one part, %d late sends; at least %.3f of the other requests", crashes, late, served)
			if late > maxSends {
				t.Errorf("%d sends later than the contact time after the fifth crash", late)
			}
			if served < minServed {
				t.Errorf("%.3f of the other requests were sent", served)
			}
		})
	}
}
