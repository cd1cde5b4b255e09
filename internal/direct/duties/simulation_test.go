package duties

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/coord/duty"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/logs"

	"github.com/uber-go/tally/v4"
)

// Parameters of the simulated deployments.
const (
	longWindow  = 5 * time.Second
	shortWindow = 500 * time.Millisecond // makes a holder act often
	alternate   = 3 * time.Second
	thaw        = 300 * time.Millisecond
	dueAfter    = 10 * time.Second // after a window's end
)

// plan describes a simulated deployment and its faults.
type plan struct {
	machines int
	faults   bool
	unfenced bool // the platform does not check fences
	window   time.Duration

	ignoreConditions bool // deliberate fault of the store
	terms            func(duty.Terms) duty.Terms
	script           func(r *run, step int) // injects faults in place of the random ones
	metrics          tally.Scope            // shared by all entries, nil for none
}

// run is a simulated deployment.
type run struct {
	t          *testing.T
	plan       plan
	random     *rand.Rand
	store      *memoryStore
	platform   *fakePlatform
	group      *memoryGroup
	machines   []*machine
	wantCounts map[duty.Window]duty.Counts     // requests that were counted
	countedBy  map[duty.Window]map[uint64]bool // entries that counted requests in the window
	nextID     uint64
}

// machine is a machine that runs at most one entry.
type machine struct {
	name         string
	disconnected bool
	member       *memoryMember
	stop         context.CancelFunc // nil while no entry runs
}

func (r *run) start(m *machine) {
	r.nextID++
	ctx, cancel := context.WithCancel(r.t.Context())
	m.stop = cancel
	m.member = &memoryMember{group: r.group, owner: r.nextID, clockOffset: time.Duration(r.random.IntN(20)) * time.Millisecond}
	d := New(Options{
		Name:     m.name,
		Owner:    r.nextID,
		Terms:    driver.Duties{Usage: true, UsageWindow: r.plan.window, Alternate: alternate, Thaw: thaw, MinLeaseTime: time.Second},
		Group:    m.member,
		Store:    respondingStore{},
		Records:  storeClient{r.store, &m.disconnected},
		Reporter: platformClient{r.platform, m.name},
		Metrics:  r.plan.metrics,
	})
	if r.plan.terms != nil {
		d.election.Terms = r.plan.terms(d.election.Terms)
	}
	m.member.duties = d
	r.group.mu.Lock()
	r.group.members[r.nextID] = m.member
	r.group.mu.Unlock()
	go d.Run(ctx)
}

// kill ends an entry without notice to the others.
func (r *run) kill(m *machine) {
	m.stop()
	m.stop = nil
	r.group.mu.Lock()
	delete(r.group.members, m.member.owner)
	r.group.mu.Unlock()
}

// count starts a request at each running entry.
func (r *run) count(now time.Time) {
	for _, m := range r.machines {
		if m.stop == nil {
			continue
		}
		team := fmt.Sprint("team-", r.random.IntN(5))
		m.member.duties.Count(team)
		w := duty.WindowAt(now.Add(m.member.clockOffset), r.plan.window)
		if r.wantCounts[w] == nil {
			r.wantCounts[w] = duty.Counts{}
		}
		r.wantCounts[w][team]++
		if r.countedBy[w] == nil {
			r.countedBy[w] = map[uint64]bool{}
		}
		r.countedBy[w][m.member.owner] = true
	}
}

// injectFault starts or ends a random fault.
func (r *run) injectFault() {
	m := r.machines[r.random.IntN(len(r.machines))]
	s, p := r.store, r.platform
	switch r.random.IntN(9) {
	case 0, 1:
		if m.stop == nil {
			r.start(m)
		} else {
			r.kill(m)
		}
	case 2:
		if m.stop != nil {
			m.member.duties.Resign()
		}
	case 3:
		s.mu.Lock()
		m.disconnected = !m.disconnected
		s.mu.Unlock()
	case 4:
		m.member.setIsolated(r.random.IntN(2) == 0)
	case 5:
		s.mu.Lock()
		s.unavailable = !s.unavailable
		s.mu.Unlock()
	case 6:
		s.mu.Lock()
		s.lossRate, s.lateRate = r.random.Float64()*0.4, r.random.Float64()*0.3
		s.mu.Unlock()
	case 7:
		p.mu.Lock()
		p.lossRate, p.lateRate = r.random.Float64()*0.4, r.random.Float64()*0.4
		p.mu.Unlock()
	case 8:
		p.mu.Lock()
		p.unavailable = !p.unavailable
		p.mu.Unlock()
	}
}

// clearFaults ends all faults.
func (r *run) clearFaults() {
	r.store.mu.Lock()
	r.store.unavailable, r.store.lossRate, r.store.lateRate = false, 0, 0
	for _, m := range r.machines {
		m.disconnected = false
	}
	r.store.mu.Unlock()
	r.platform.mu.Lock()
	r.platform.lossRate, r.platform.lateRate, r.platform.unavailable = 0, 0, false
	r.platform.mu.Unlock()
	for _, m := range r.machines {
		if m.stop != nil {
			if _, leaving := m.member.duties.lease(); !leaving {
				m.member.setIsolated(false)
				continue
			}
			r.kill(m)
		}
		r.start(m)
	}
}

// simulate runs a plan and returns the violations of the invariants.
func simulate(t *testing.T, seed uint64, p plan) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 7))
		r := &run{
			t: t, plan: p, random: random,
			store:      newMemoryStore(rand.New(rand.NewPCG(seed, 8))),
			platform:   &fakePlatform{random: rand.New(rand.NewPCG(seed, 9)), fences: !p.unfenced},
			group:      &memoryGroup{members: map[uint64]*memoryMember{}},
			wantCounts: map[duty.Window]duty.Counts{},
			countedBy:  map[duty.Window]map[uint64]bool{},
		}
		r.store.ignoreConditions = p.ignoreConditions
		for n := range p.machines {
			m := &machine{name: fmt.Sprint("entry-", n)}
			r.machines = append(r.machines, m)
			r.start(m)
		}
		const step = 50 * time.Millisecond
		for n := range 1200 { // a minute
			if p.faults && p.script == nil && n < 800 && r.random.IntN(20) == 0 {
				r.injectFault()
			}
			if p.faults && n == 800 {
				r.clearFaults()
			}
			if p.script != nil {
				p.script(r, n)
			}
			r.count(time.Now())
			time.Sleep(step)
			synctest.Wait()
		}
		last := duty.WindowAt(time.Now(), p.window)
		time.Sleep(dueAfter)
		violations = r.check(last)
		for _, m := range r.machines {
			if m.stop != nil {
				r.kill(m)
			}
		}
		time.Sleep(dueAfter) // lets calls in flight finish
	})
	return violations
}

func TestMain(m *testing.M) {
	if err := logs.Setup(os.Stderr, "text", "error"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// survives reports whether an entry that counted in a window is live.
func (r *run) survives(w duty.Window) bool {
	for _, m := range r.machines {
		if m.stop != nil && r.countedBy[w][m.member.owner] {
			return true
		}
	}
	return false
}

// seedsPerPlan is the number of seeds with which the tests run each plan.
const seedsPerPlan = 40

func TestReportsAreExactWithoutFaults(t *testing.T) {
	for seed := range uint64(5) {
		for machines := 1; machines <= 3; machines++ {
			if violations := simulate(t, seed, plan{machines: machines, window: longWindow}); len(violations) > 0 {
				t.Errorf("seed %d, %d machines: %s", seed, machines, strings.Join(violations, "; "))
			}
		}
	}
}

// TestDutiesUnderFaults simulates kills, resignations, disconnections from the store and from other
// entries, outages, lost responses and calls that are executed late.
func TestDutiesUnderFaults(t *testing.T) {
	for seed := range uint64(seedsPerPlan) {
		for _, p := range []plan{
			{machines: 2, faults: true, window: longWindow},
			{machines: 3, faults: true, window: shortWindow},
			{machines: 3, faults: true, window: shortWindow, unfenced: true},
		} {
			if violations := simulate(t, seed, p); len(violations) > 0 {
				t.Errorf("seed %d, %+v: %s", seed, p, strings.Join(violations, "; "))
			}
		}
	}
}

// holder returns the machine whose entry holds the duties by its own lease, nil for none.
func (r *run) holder() *machine {
	for _, m := range r.machines {
		if m.stop == nil {
			continue
		}
		if lease, leaving := m.member.duties.lease(); lease.Held(time.Now()) && !leaving {
			return m
		}
	}
	return nil
}

// rotateHolder makes each holder resign soon after it became holder, and restarts it soon after.
func rotateHolder(r *run, step int) {
	if step%12 == 0 {
		if m := r.holder(); m != nil {
			m.member.duties.Resign()
		}
	}
	if step%12 == 6 {
		for _, m := range r.machines {
			if _, leaving := m.member.duties.lease(); leaving {
				r.kill(m)
				r.start(m)
			}
		}
	}
}

// isolateHolder disconnects the holder from the store and from the other entries while the platform
// is unavailable, so that it has reports to send at the same time as another entry.
func isolateHolder(r *run, step int) {
	if step == 150 || step == 330 {
		r.platform.mu.Lock()
		r.platform.unavailable = step == 150
		r.platform.mu.Unlock()
	}
	if m := r.holder(); step == 200 && m != nil {
		r.store.mu.Lock()
		m.disconnected = true
		r.store.mu.Unlock()
		m.member.setIsolated(true)
	}
}

// isolateOne disconnects one entry from the other entries.
func isolateOne(r *run, step int) {
	if step == 200 {
		r.machines[0].member.setIsolated(true)
	}
}

// TestInvariantsDetectFaults checks that deliberate faults violate the invariants that guard against
// them, and that the same plans without the faults do not.
func TestInvariantsDetectFaults(t *testing.T) {
	for _, c := range []struct {
		name, invariant string
		plan            plan
		addFault        func(*plan)
	}{
		{"store ignores conditions", "consistent counts", plan{script: isolateOne, unfenced: true},
			func(p *plan) { p.ignoreConditions = true }},
		{"no handover", "alternation", plan{script: rotateHolder},
			func(p *plan) { p.terms = func(t duty.Terms) duty.Terms { t.Handover = 0; return t } }},
		{"holder counts its lease for too long", "alternation", plan{script: isolateHolder, unfenced: true},
			func(p *plan) { p.terms = func(t duty.Terms) duty.Terms { t.Margin = -10 * time.Second; return t } }},
	} {
		c.plan.machines = 3
		c.plan.window = shortWindow
		c.plan.faults = true // late reports are no violations
		faulty := c.plan
		c.addFault(&faulty)
		detected := false
		for seed := range uint64(seedsPerPlan / 4) {
			for _, b := range simulate(t, seed, c.plan) {
				if strings.HasPrefix(b, c.invariant) {
					t.Errorf("%s, without the fault, seed %d: %s", c.name, seed, b)
				}
			}
			for _, b := range simulate(t, seed, faulty) {
				detected = detected || strings.HasPrefix(b, c.invariant)
			}
		}
		if !detected {
			t.Errorf("%s: invariant %q did not detect it", c.name, c.invariant)
		}
	}
}
