package simulation_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/testing/history"
	"foxcross.dev/foxcross/internal/testing/simulation"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"
)

var (
	seeds     = flag.Int("seeds", 0, "number of seeds of random faults to run instead of the fixed ones")
	firstSeed = flag.Uint64("first-seed", 1000, "first of the seeds")
)

// fixedSeeds run in every check. A seed that fails is added here, with the cause of the failure.
var fixedSeeds = []uint64{
	1,    // no known failure
	1083, // an agent whose fetch fails keeps old settings until their next change
	5020, // a response that lost only its end is continued beyond its token limit
	5047, // a process announces two versions in the wrong order
}

const (
	faultDuration  = 40 * time.Second
	faultRunAgents = 3
)

// TestRandomFaults injects random faults, also several at once, and checks the history against the
// promises.
func TestRandomFaults(t *testing.T) {
	run := fixedSeeds
	if *seeds > 0 {
		run = nil
		for n := range *seeds {
			run = append(run, *firstSeed+uint64(n))
		}
	}
	for _, s := range run {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWithFaults(t, s) })
		})
	}
}

// faultRun is a run with random faults.
type faultRun struct {
	*simulation.Simulation
	t         *testing.T
	seed      uint64
	agents    []*simulation.Agent
	engines   []*standin.Engine
	permanent map[string]bool // entries that run from the start to the end
	deadline  context.Context
	faults    sync.WaitGroup
}

func runWithFaults(t *testing.T, seed uint64) {
	r, err := simulation.New(trees.Ovenhuis, linkDelay)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		r.Close()
		time.Sleep(timerExpiry)
	}()
	deadline, cancel := context.WithTimeout(context.Background(), faultDuration)
	defer cancel()
	c := &faultRun{Simulation: r, t: t, seed: seed, permanent: map[string]bool{}, deadline: deadline}
	c.start()
	time.Sleep(3 * time.Second)
	for _, fault := range []func(){c.agentFaults, c.engineFaults, c.entryFaults, c.storeFaults, c.changeSettings} {
		c.faults.Go(fault)
	}
	var load sync.WaitGroup
	load.Go(func() { r.Load(context.Background(), seed, faultDuration, ovenhuisLoad(0.2, 0.1, 0.1)) })
	load.Go(c.sendBookings)
	load.Wait()
	c.faults.Wait()
	r.Store.SetFaults(standin.Faults{})
	time.Sleep(20 * time.Second)
	c.checkRecovered()
	rules := history.Rules{LeaveGracePeriod: 3 * time.Second, ActivationTimeout: 11 * time.Second, End: time.Now()}
	for _, e := range r.Entries() {
		if c.permanent[e.Name] {
			rules.Processes = append(rules.Processes, e.Name)
		}
	}
	for _, b := range history.Check(r.Recorder.Events(), rules) {
		t.Errorf("seed %d: %v", seed, b)
	}
}

func (c *faultRun) start() {
	for n := range faultRunAgents {
		e := &standin.Engine{Card: standin.Card{Step: 10 * time.Millisecond}}
		c.engines = append(c.engines, e)
		c.agents = append(c.agents, c.AddAgent(fmt.Sprintf("hall-%d", n), "glaze-8b", e))
	}
	for n := range 2 {
		c.agents = append(c.agents, c.AddService(fmt.Sprintf("app-%d", n), "bookings", &standin.Service{Latency: 50 * time.Millisecond}))
	}
	for n := range 2 {
		c.permanent[c.AddEntry(fmt.Sprintf("entry-%d", n)).Name] = true
	}
}

// entryFaults freezes entries, cuts their connections, or replaces one of two entries.
func (c *faultRun) entryFaults() {
	random := rand.New(rand.NewPCG(c.seed, 6))
	for n := 0; c.pause(random, 10*time.Second); n++ {
		e := c.Entries()[random.IntN(2)]
		switch random.IntN(3) {
		case 0:
			c.Network.Freeze(e.Name, time.Duration(random.Int64N(int64(10*time.Second))))
		case 1:
			c.Network.Cut(e.Name)
		case 2:
			c.AddEntry(fmt.Sprintf("entry-new-%d", n))
			time.Sleep(3 * time.Second)
			c.KillEntry(e)
		}
	}
}

// pause waits for a random time and reports whether the run continues.
func (c *faultRun) pause(random *rand.Rand, maxPause time.Duration) bool {
	time.Sleep(time.Duration(random.Int64N(int64(maxPause))))
	return c.deadline.Err() == nil
}

// agentFaults kills, freezes and stops agents and cuts their connections.
func (c *faultRun) agentFaults() {
	random := rand.New(rand.NewPCG(c.seed, 1))
	for c.pause(random, 4*time.Second) {
		n := random.IntN(len(c.agents))
		a := c.agents[n]
		length := time.Duration(random.Int64N(int64(8 * time.Second)))
		switch random.IntN(4) {
		case 0:
			c.Kill(a)
			time.Sleep(length)
			c.agents[n] = c.Restart(a)
		case 1:
			c.Network.Cut(a.Name)
		case 2:
			c.faults.Go(func() { c.Network.Freeze(a.Name, length) })
		case 3:
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			if err := c.Stop(ctx, a); err != nil {
				c.t.Errorf("stop of %s: %v", a.Name, err)
			}
			cancel()
			time.Sleep(length)
			c.agents[n] = c.Restart(a)
		}
	}
}

// engineFaults breaks, slows and freezes engines.
func (c *faultRun) engineFaults() {
	random := rand.New(rand.NewPCG(c.seed, 2))
	for c.pause(random, 6*time.Second) {
		e := c.engines[random.IntN(len(c.engines))]
		length := time.Duration(random.Int64N(int64(5 * time.Second)))
		switch random.IntN(3) {
		case 0:
			e.SetBroken(true)
			time.Sleep(length)
			e.SetBroken(false)
		case 1:
			e.SetSlowdown(4)
			time.Sleep(length)
			e.SetSlowdown(1)
		case 2:
			thaw := e.Freeze()
			time.Sleep(length)
			thaw()
		}
	}
}

// storeFaults makes the platform's key-value service fail, delay or lose responses.
func (c *faultRun) storeFaults() {
	random := rand.New(rand.NewPCG(c.seed, 3))
	for c.pause(random, 4*time.Second) {
		switch random.IntN(3) {
		case 0:
			c.Store.SetFaults(standin.Faults{Down: true})
		case 1:
			c.Store.SetFaults(standin.Faults{Delay: time.Duration(random.Int64N(int64(2 * time.Second)))})
		case 2:
			c.Store.SetFaults(standin.Faults{LoseSwaps: 1 + random.IntN(3)})
		}
		time.Sleep(time.Duration(random.Int64N(int64(5 * time.Second))))
		c.Store.SetFaults(standin.Faults{})
	}
}

// changeSettings changes the tree through both entries at the same time.
func (c *faultRun) changeSettings() {
	random := rand.New(rand.NewPCG(c.seed, 4))
	for c.pause(random, 3*time.Second) {
		var both sync.WaitGroup
		for _, e := range c.Entries() {
			team := []string{"teams/gent", "teams/mons"}[random.IntN(2)]
			weight := 1 + random.IntN(9)
			both.Go(func() { c.changeWeight(e, team, weight) })
		}
		both.Wait()
	}
}

func (c *faultRun) changeWeight(e *simulation.Entry, path string, weight int) {
	s := e.Store.Holder.State()
	n, _ := s.Tree.Node(path)
	n.Set = n.Set.Override(settings.Fields{Weight: &weight})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	root, err := e.Store.Commit(ctx, versions.Change{Base: s.Root.Version, Tree: s.Tree.With(path, n)})
	if err == nil {
		c.Recorder.Add(history.Accepted{Version: root.Version, At: time.Now()})
	}
}

// sendBookings sends confirmations. Those with a key go through both entries at once.
func (c *faultRun) sendBookings() {
	random := rand.New(rand.NewPCG(c.seed, 5))
	var pending sync.WaitGroup
	for n := 0; c.pause(random, 400*time.Millisecond); n++ {
		q := simulation.Request{ID: fmt.Sprintf("book-%d", n), Class: "booking-confirm", Team: "gent"}
		if n%2 == 0 {
			pending.Go(func() { c.Call(context.Background(), c.Entries()[n/2%2], q, http.MethodPost, "/confirmations") })
			continue
		}
		q.Key = q.ID
		q.Copies = 2
		for _, e := range c.Entries()[:q.Copies] {
			pending.Go(func() { c.Call(context.Background(), e, q, http.MethodPost, "/confirmations") })
		}
	}
	pending.Wait()
}

// checkRecovered checks that the fleet works after all faults are over.
func (c *faultRun) checkRecovered() {
	newest := uint64(0)
	for _, e := range c.Recorder.Events() {
		if a, ok := e.(history.Accepted); ok {
			newest = max(newest, a.Version)
		}
	}
	for _, e := range c.Entries() {
		if v := e.Store.Holder.Version(); v < newest {
			c.t.Errorf("%s uses version %d, %d was accepted", e.Name, v, newest)
		}
		if n := e.Dump().Open; n != 0 {
			c.t.Errorf("%s has %d open requests", e.Name, n)
		}
	}
	for _, a := range c.Agents() {
		if v := a.Versions.Version(); v < newest {
			c.t.Errorf("%s uses version %d, %d was accepted", a.Name, v, newest)
		}
	}
	for n, e := range c.engines {
		if r := e.Running(); r != 0 {
			c.t.Errorf("engine %d still runs %d requests", n, r)
		}
	}
	for n := range 10 {
		q := simulation.Request{ID: fmt.Sprintf("calm-%d", n), Class: "glaze-question", Team: "gent", PromptBytes: 100, Tokens: 10}
		if a := c.Chat(context.Background(), c.Entries()[n%2], q); a.Code != result.OK {
			c.t.Errorf("after the faults a request ended with %v: %v", a.Code, a.Err)
		}
		q = simulation.Request{ID: fmt.Sprintf("calm-book-%d", n), Class: "booking-confirm", Team: "gent", Key: fmt.Sprint(n)}
		if a := c.Call(context.Background(), c.Entries()[n%2], q, http.MethodPost, "/confirmations"); a.Code != result.OK {
			c.t.Errorf("after the faults a booking ended with %v: %v", a.Code, a.Err)
		}
	}
}
