package simulation_test

import (
	"fmt"
	"testing"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/testing/history"
	"foxcross.dev/foxcross/internal/testing/simulation"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/settings"
)

// TestSettingsPropagateWithoutService stops the key-value service right after it has accepted a
// change. The change reaches every process through its peers, also one that starts during the outage.
func TestSettingsPropagateWithoutService(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		for n := range 3 {
			r.AddAgent(fmt.Sprint("hall-", n), "glaze-8b", newEngine())
		}
		first := r.AddEntry("e0")
		r.AddEntry("e1")
		awaitAgents()
		s := first.Store.Holder.State()
		weight := 9
		n := settings.Node{Kind: settings.Team, Set: settings.Fields{Weight: &weight}}
		go func() {
			time.Sleep(time.Nanosecond)
			r.Store.SetFaults(standin.Faults{Down: true})
		}()
		root, err := first.Store.Commit(background, versions.Change{Base: s.Root.Version, Tree: s.Tree.With("teams/new", n)})
		if err != nil {
			t.Fatal(err)
		}
		r.Store.SetFaults(standin.Faults{Down: true})
		r.Recorder.Add(history.Accepted{Version: root.Version, At: time.Now()})
		time.Sleep(3 * time.Second)
		r.AddEntry("e2")
		time.Sleep(5 * time.Second)
		for _, e := range r.Entries() {
			if v := e.Store.Holder.Version(); v != root.Version {
				t.Errorf("%s uses version %d, want %d", e.Name, v, root.Version)
			}
		}
		for _, a := range r.Agents() {
			if v := a.Versions.Version(); v != root.Version {
				t.Errorf("%s holds version %d, want %d", a.Name, v, root.Version)
			}
		}
		return history.Rules{ActivationTimeout: 2 * time.Second, Processes: []string{"e0", "e1"}}
	})
}

// TestChangeUnderLoad checks that a change of settings under load drops no request.
func TestChangeUnderLoad(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("hall", "glaze-8b", newEngine(), newEngine())
		e := r.AddEntry("e0")
		r.AddEntry("e1")
		awaitAgents()
		go func() {
			for n := range 10 {
				time.Sleep(time.Second)
				s := e.Store.Holder.State()
				tier := n % 2
				node, _ := s.Tree.Node("classes/language/firing-plan")
				node.Set = node.Set.Override(settings.Fields{Tier: &tier})
				root, err := e.Store.Commit(background, versions.Change{Base: s.Root.Version, Tree: s.Tree.With("classes/language/firing-plan", node)})
				if err != nil {
					t.Error(err)
				}
				r.Recorder.Add(history.Accepted{Version: root.Version, At: time.Now()})
			}
		}()
		for _, f := range r.Load(background, 1, 12*time.Second, ovenhuisLoad(0.1, 0.1, 0.1)) {
			if f.OK != f.Sent {
				t.Errorf("%s: %d of %d answered: %v", f.Class, f.OK, f.Sent, f.Codes)
			}
		}
		time.Sleep(time.Second)
		return history.Rules{ActivationTimeout: 2 * time.Second, Processes: []string{"e0", "e1"}}
	})
}

// TestFewWatchers checks that only a few of many entries watch the service, and that the others receive
// a change through the agents within seconds.
func TestFewWatchers(t *testing.T) {
	runSimulation(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("hall-0", "glaze-8b", newEngine())
		r.AddAgent("hall-1", "glaze-8b", newEngine())
		rules := history.Rules{ActivationTimeout: 2 * time.Second}
		const entries = 12
		for n := range entries {
			rules.Processes = append(rules.Processes, r.AddEntry(fmt.Sprint("e", n)).Name)
		}
		time.Sleep(20 * time.Second) // the first watches end at the first change
		var last uint64
		before := r.Store.Calls()
		const changes = 5
		for n := range changes {
			e := r.Entries()[n]
			s := e.Store.Holder.State()
			weight := n + 1
			node := settings.Node{Kind: settings.Team, Set: settings.Fields{Weight: &weight}}
			root, err := e.Store.Commit(background, versions.Change{Base: s.Root.Version, Tree: s.Tree.With("teams/new", node)})
			if err != nil {
				t.Fatal(err)
			}
			last = root.Version
			r.Recorder.Add(history.Accepted{Version: last, At: time.Now()})
			time.Sleep(20 * time.Second)
		}
		after := r.Store.Calls()
		t.Logf("%d watches and %d reads for %d changes over %d s", after.Watches-before.Watches, after.Gets-before.Gets, changes, 20*changes)
		if w := after.Watches - before.Watches; w > changes*4+entries {
			t.Errorf("%d watches for %d changes", w, changes)
		}
		for _, e := range r.Entries() {
			if v := e.Store.Holder.Version(); v != last {
				t.Errorf("%s uses version %d, want %d", e.Name, v, last)
			}
		}
		return rules
	})
}
