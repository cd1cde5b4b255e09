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

// Bounds of the simulated deployments.
const (
	longWindow  = 5 * time.Second
	shortWindow = 500 * time.Millisecond // so that a holder acts often
	alternate   = 3 * time.Second
	thaw        = 300 * time.Millisecond
	dueAfter    = 10 * time.Second // of a window's end
)

// plan says what strikes a simulated deployment.
type plan struct {
	machines int
	faults   bool
	unfenced bool // the platform does not look at fences
	window   time.Duration

	ignoreConditions bool // planted fault of the store
	terms            func(duty.Terms) duty.Terms
	script           func(r *run, step int) // strikes in place of random faults
	metrics          tally.Scope            // of all entries, nil for none
}

// run is a simulated deployment.
type run struct {
	t        *testing.T
	plan     plan
	random   *rand.Rand
	store    *modelStore
	platform *modelPlatform
	group    *modelGroup
	machines []*machine
	began    map[duty.Window]duty.Counts     // the truth
	counters map[duty.Window]map[uint64]bool // entries that counted something in it
	nextID   uint64
}

// machine runs an entry, or does not.
type machine struct {
	name   string
	cut    bool
	member *modelMember
	stop   context.CancelFunc // nil while it is down
}

func (r *run) start(m *machine) {
	r.nextID++
	ctx, cancel := context.WithCancel(r.t.Context())
	m.stop = cancel
	m.member = &modelMember{group: r.group, owner: r.nextID, skew: time.Duration(r.random.IntN(20)) * time.Millisecond}
	d := New(Options{
		Name:     m.name,
		Owner:    r.nextID,
		Terms:    driver.Duties{Usage: true, UsageWindow: r.plan.window, Alternate: alternate, Thaw: thaw, MinLeaseTime: time.Second},
		Group:    m.member,
		Store:    reads{},
		Records:  view{r.store, &m.cut},
		Reporter: reporterOf{r.platform, m.name},
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

// kill ends an entry without a word.
func (r *run) kill(m *machine) {
	m.stop()
	m.stop = nil
	r.group.mu.Lock()
	delete(r.group.members, m.member.owner)
	r.group.mu.Unlock()
}

// count lets requests begin at all entries that run.
func (r *run) count(now time.Time) {
	for _, m := range r.machines {
		if m.stop == nil {
			continue
		}
		team := fmt.Sprint("team-", r.random.IntN(5))
		m.member.duties.Count(team)
		w := duty.WindowAt(now.Add(m.member.skew), r.plan.window)
		if r.began[w] == nil {
			r.began[w] = duty.Counts{}
		}
		r.began[w][team]++
		if r.counters[w] == nil {
			r.counters[w] = map[uint64]bool{}
		}
		r.counters[w][m.member.owner] = true
	}
}

// strike lets one fault begin or end.
func (r *run) strike() {
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
		m.cut = !m.cut
		s.mu.Unlock()
	case 4:
		m.member.setDeaf(r.random.IntN(2) == 0)
	case 5:
		s.mu.Lock()
		s.down = !s.down
		s.mu.Unlock()
	case 6:
		s.mu.Lock()
		s.lost, s.late = r.random.Float64()*0.4, r.random.Float64()*0.3
		s.mu.Unlock()
	case 7:
		p.mu.Lock()
		p.lost, p.late = r.random.Float64()*0.4, r.random.Float64()*0.4
		p.mu.Unlock()
	case 8:
		p.mu.Lock()
		p.down = !p.down
		p.mu.Unlock()
	}
}

// calm ends all faults.
func (r *run) calm() {
	r.store.mu.Lock()
	r.store.down, r.store.lost, r.store.late = false, 0, 0
	for _, m := range r.machines {
		m.cut = false
	}
	r.store.mu.Unlock()
	r.platform.mu.Lock()
	r.platform.lost, r.platform.late, r.platform.down = 0, 0, false
	r.platform.mu.Unlock()
	for _, m := range r.machines {
		if m.stop != nil {
			if _, leaving := m.member.duties.lease(); !leaving {
				m.member.setDeaf(false)
				continue
			}
			r.kill(m)
		}
		r.start(m)
	}
}

// simulate plays a plan and returns the broken invariants.
func simulate(t *testing.T, seed uint64, p plan) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 7))
		r := &run{
			t: t, plan: p, random: random,
			store:    newModelStore(rand.New(rand.NewPCG(seed, 8))),
			platform: &modelPlatform{random: rand.New(rand.NewPCG(seed, 9)), fences: !p.unfenced},
			group:    &modelGroup{members: map[uint64]*modelMember{}},
			began:    map[duty.Window]duty.Counts{},
			counters: map[duty.Window]map[uint64]bool{},
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
				r.strike()
			}
			if p.faults && n == 800 {
				r.calm()
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
		broken = r.check(last)
		for _, m := range r.machines {
			if m.stop != nil {
				r.kill(m)
			}
		}
		time.Sleep(dueAfter) // what is under way ends
	})
	return broken
}

func TestMain(m *testing.M) {
	if err := logs.Setup(os.Stderr, "text", "error"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// survives tells whether an entry that counted in a window lives.
func (r *run) survives(w duty.Window) bool {
	for _, m := range r.machines {
		if m.stop != nil && r.counters[w][m.member.owner] {
			return true
		}
	}
	return false
}

// seeds is how many seeds of each plan the tests play.
const seeds = 40

func TestCalmDutiesAreExact(t *testing.T) {
	for seed := range uint64(5) {
		for machines := 1; machines <= 3; machines++ {
			if broken := simulate(t, seed, plan{machines: machines, window: longWindow}); len(broken) > 0 {
				t.Errorf("seed %d, %d machines: %s", seed, machines, strings.Join(broken, "; "))
			}
		}
	}
}

// TestDutiesUnderFaults plays kills, resignations, cuts from the store and from other
// entries, outages, lost answers and calls that are carried out late.
func TestDutiesUnderFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, p := range []plan{
			{machines: 2, faults: true, window: longWindow},
			{machines: 3, faults: true, window: shortWindow},
			{machines: 3, faults: true, window: shortWindow, unfenced: true},
		} {
			if broken := simulate(t, seed, p); len(broken) > 0 {
				t.Errorf("seed %d, %+v: %s", seed, p, strings.Join(broken, "; "))
			}
		}
	}
}

// holder returns the machine that believes to hold the duties, nil for none.
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

// passAround lets each holder resign soon after it has won, and start again soon after that.
func passAround(r *run, step int) {
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

// isolateHolder cuts the holder off from the store and from the other entries while the
// platform is down, so that it has reports to send when another entry has some, too.
func isolateHolder(r *run, step int) {
	if step == 150 || step == 330 {
		r.platform.mu.Lock()
		r.platform.down = step == 150
		r.platform.mu.Unlock()
	}
	if m := r.holder(); step == 200 && m != nil {
		r.store.mu.Lock()
		m.cut = true
		r.store.mu.Unlock()
		m.member.setDeaf(true)
	}
}

// hideOne lets one entry hear nobody.
func hideOne(r *run, step int) {
	if step == 200 {
		r.machines[0].member.setDeaf(true)
	}
}

// TestPlantedFaultsAreCaught lets each invariant be broken by a fault that it is there for,
// and plays the same without it.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for _, c := range []struct {
		name, invariant string
		plan            plan
		plant           func(*plan)
	}{
		{"a store that ignores conditions", "same counts", plan{script: hideOne, unfenced: true},
			func(p *plan) { p.ignoreConditions = true }},
		{"no handover", "alternation", plan{script: passAround},
			func(p *plan) { p.terms = func(t duty.Terms) duty.Terms { t.Handover = 0; return t } }},
		{"a lease that its holder believes for too long", "alternation", plan{script: isolateHolder, unfenced: true},
			func(p *plan) { p.terms = func(t duty.Terms) duty.Terms { t.Margin = -10 * time.Second; return t } }},
	} {
		c.plan.machines = 3
		c.plan.window = shortWindow
		c.plan.faults = true // what is late is no breach
		planted := c.plan
		c.plant(&planted)
		caught := false
		for seed := range uint64(seeds / 4) {
			for _, b := range simulate(t, seed, c.plan) {
				if strings.HasPrefix(b, c.invariant) {
					t.Errorf("%s, not planted, seed %d: %s", c.name, seed, b)
				}
			}
			for _, b := range simulate(t, seed, planted) {
				caught = caught || strings.HasPrefix(b, c.invariant)
			}
		}
		if !caught {
			t.Errorf("%s: %q did not catch it", c.name, c.invariant)
		}
	}
}
