package simulation_test

import (
	"bytes"
	"context"
	"fmt"
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

const (
	oneWay = 500 * time.Microsecond // delay of a message between processes
	settle = 2 * time.Minute        // virtual time in which timers of closed connections run out
)

// background is the context of requests that nobody gives up.
var background = context.Background()

// deployment runs f on a simulation in virtual time and checks its history.
func deployment(t *testing.T, tree []byte, f func(r *simulation.Simulation) history.Rules) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r, err := simulation.New(tree, oneWay)
		if err != nil {
			t.Fatal(err)
		}
		rules := f(r)
		rules.End = time.Now()
		for _, b := range history.Check(r.Recorder.Events(), rules) {
			t.Error(b)
		}
		r.Close()
		time.Sleep(settle)
	})
}

// card returns an engine that makes a token in ten milliseconds.
func card() *standin.Engine {
	return &standin.Engine{Card: standin.Card{Step: 10 * time.Millisecond}}
}

// meanTokens is the mean length of an answer of a load.
const meanTokens = 60

// ovenhuisLoad is a mix as a share of what the engines can do at the strictest
// target, about 80 requests a second.
func ovenhuisLoad(glaze, plan, check float64) []simulation.Kind {
	const capacity = 80
	return []simulation.Kind{
		{Class: "glaze-question", Teams: []string{"gent", "leuven", "namur"}, Rate: capacity * glaze, Prompt: 400, Tokens: meanTokens},
		{Class: "firing-plan", Teams: []string{"gent", "leuven", "mons"}, Rate: capacity * plan, Prompt: 1200, Tokens: meanTokens},
		{Class: "load-check", Teams: []string{"technicians"}, Rate: capacity * check, Prompt: 800, Tokens: meanTokens},
	}
}

// ready waits until the entries know the agents.
func ready() { time.Sleep(3 * time.Second) }

func glaze(id string, tokens int) simulation.Ask {
	return simulation.Ask{ID: id, Class: "glaze-question", Team: "gent", Prompt: 100, Tokens: tokens}
}

func booking(id string) simulation.Ask {
	return simulation.Ask{ID: id, Class: "booking-confirm", Team: "gent"}
}

// An agent that dies mid-answer: the caller gets the whole answer all the same,
// and no token is made twice.
func TestWholeAnswerAfterACrash(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		engines := []*standin.Engine{card(), card()}
		agents := []*simulation.Agent{r.AddAgent("a", "glaze-8b", engines[0]), r.AddAgent("b", "glaze-8b", engines[1])}
		e := r.AddEntry("e")
		ready()
		var all sync.WaitGroup
		for n := range 8 {
			all.Go(func() {
				if a := r.Chat(background, e, glaze(fmt.Sprint(n), 100)); a.Code != result.OK {
					t.Errorf("request %d ended with %v", n, a.Code)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		r.Kill(agents[0])
		all.Wait()
		if made := engines[0].Tokens() + engines[1].Tokens(); made > 8*100+8 {
			t.Errorf("%d tokens were made for 800", made)
		}
		return history.Rules{}
	})
}

// An engine that stands still mid-answer: the answer goes on elsewhere.
func TestWholeAnswerAfterAStall(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		engines := []*standin.Engine{card(), card()}
		r.AddAgent("a", "glaze-8b", engines...)
		e := r.AddEntry("e")
		ready()
		var thaw func()
		time.AfterFunc(300*time.Millisecond, func() {
			for _, x := range engines {
				if x.Running() > 0 {
					thaw = x.Freeze()
				}
			}
		})
		if a := r.Chat(background, e, glaze("1", 100)); a.Code != result.OK || a.Whole > 15*time.Second {
			t.Errorf("ended with %v after %v", a.Code, a.Whole)
		}
		thaw()
		return history.Rules{}
	})
}

// Every agent and entry is stopped and started again under load: no answer is
// cut off and no leaving agent gets new work.
func TestRollingRestart(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		for n := range 3 {
			r.AddAgent(fmt.Sprint("hall-", n), "glaze-8b", card(), card())
			r.AddService(fmt.Sprint("app-", n), "bookings", &standin.Service{Takes: 20 * time.Millisecond})
		}
		for n := range 2 {
			r.AddEntry(fmt.Sprint("entry-", n))
		}
		ready()
		var all sync.WaitGroup
		all.Go(func() {
			for _, f := range r.Load(background, 1, 30*time.Second, ovenhuisLoad(0.3, 0.2, 0.1)) {
				if f.OK != f.Sent {
					t.Errorf("%s: %d of %d answered: %v", f.Class, f.OK, f.Sent, f.Codes)
				}
			}
		})
		for _, a := range r.Agents() {
			if err := r.Stop(background, a); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Second)
			r.Restart(a)
			time.Sleep(2 * time.Second) // entries dial again within a second and a half
		}
		for n, e := range r.Entries() {
			r.AddEntry(fmt.Sprint("entry-new-", n))
			ready()
			if err := r.StopEntry(background, e); err != nil {
				t.Error(err)
			}
		}
		all.Wait()
		return history.Rules{LeaveWithin: 3 * time.Second}
	})
}

// A booking whose agent is paused around the start, and one whose agent dies
// after it: each runs at most once, and what is said of it is true.
func TestBookingRunsAtMostOnce(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		services := []*simulation.Agent{
			r.AddService("app-0", "bookings", &standin.Service{Takes: 100 * time.Millisecond}),
			r.AddService("app-1", "bookings", &standin.Service{Takes: 100 * time.Millisecond}),
		}
		e := r.AddEntry("e")
		ready()
		var all sync.WaitGroup
		unknown := 0
		var mu sync.Mutex
		for n := range 200 {
			all.Go(func() {
				time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				a := r.Call(background, e, booking(fmt.Sprint("b", n)), http.MethodPost, "/confirmations")
				mu.Lock()
				defer mu.Unlock()
				if a.Code != result.OK {
					unknown++
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		go r.Network.Freeze("app-0", 10*time.Second)
		time.Sleep(time.Second)
		r.Kill(services[1])
		time.Sleep(time.Second)
		r.Restart(services[1])
		all.Wait()
		if unknown == 0 {
			t.Error("no booking met a fault")
		}
		return history.Rules{}
	})
}

// Two copies of a booking with one key through two entries, while the service
// loses answers: one runs, the other is told of a copy.
func TestOneKeyRunsOnce(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.AddService("app", "bookings", &standin.Service{})
		entries := []*simulation.Entry{r.AddEntry("e0"), r.AddEntry("e1")}
		ready()
		for n := range 30 {
			r.Store.SetFaults(standin.Faults{LoseSwaps: n % 3})
			q := booking(fmt.Sprint("k", n))
			q.Key = q.ID
			q.Copies = 2
			codes := map[result.Code]int{}
			var mu sync.Mutex
			var both sync.WaitGroup
			for _, e := range entries {
				both.Go(func() {
					a := r.Call(background, e, q, http.MethodPost, "/confirmations")
					mu.Lock()
					defer mu.Unlock()
					codes[a.Code]++
				})
			}
			both.Wait()
			if codes[result.OK] != 1 || codes[result.DuplicateKey] != 1 {
				t.Errorf("key %d: %v", n, codes)
			}
		}
		return history.Rules{}
	})
}

// With the key-value service down, bookings with a key are refused as not run
// and everything else is served.
func TestServiceDownTouchesOnlyKeys(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("hall", "glaze-8b", card())
		r.AddService("app", "bookings", &standin.Service{})
		e := r.AddEntry("e")
		ready()
		r.Store.SetFaults(standin.Faults{Down: true})
		keyed := booking("keyed")
		keyed.Key = "k"
		a := r.Call(background, e, keyed, http.MethodPost, "/confirmations")
		if a.Code != result.ClaimUnavailable || a.Run != result.NotRun {
			t.Errorf("with a key: %v, %v", a.Code, a.Run)
		}
		if a := r.Call(background, e, booking("plain"), http.MethodPost, "/confirmations"); a.Code != result.OK {
			t.Errorf("without a key: %v", a.Code)
		}
		if a := r.Chat(background, e, glaze("chat", 10)); a.Code != result.OK {
			t.Errorf("chat: %v", a.Code)
		}
		r.Store.SetFaults(standin.Faults{})
		time.Sleep(time.Second)
		again := booking("again")
		again.Key = "k"
		if a := r.Call(background, e, again, http.MethodPost, "/confirmations"); a.Code != result.OK {
			t.Errorf("the key of a booking that was not run: %v", a.Code)
		}
		return history.Rules{}
	})
}

// The service goes down right after a change was accepted: the change reaches
// every process through its peers, also one that starts meanwhile.
func TestSettingsSpreadWithoutTheService(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		for n := range 3 {
			r.AddAgent(fmt.Sprint("hall-", n), "glaze-8b", card())
		}
		first := r.AddEntry("e0")
		r.AddEntry("e1")
		ready()
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
				t.Errorf("%s works by version %d, want %d", e.Name, v, root.Version)
			}
		}
		for _, a := range r.Agents() {
			if v := a.Versions.Version(); v != root.Version {
				t.Errorf("%s holds version %d, want %d", a.Name, v, root.Version)
			}
		}
		return history.Rules{ForceWithin: 2 * time.Second, Processes: []string{"e0", "e1"}}
	})
}

// A change under load drops no request.
func TestChangeUnderLoad(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("hall", "glaze-8b", card(), card())
		e := r.AddEntry("e0")
		r.AddEntry("e1")
		ready()
		go func() {
			for n := range 10 {
				time.Sleep(time.Second)
				s := e.Store.Holder.State()
				tier := n % 2
				node, _ := s.Tree.Node("classes/language/firing-plan")
				node.Set = node.Set.Over(settings.Fields{Tier: &tier})
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
		return history.Rules{ForceWithin: 2 * time.Second, Processes: []string{"e0", "e1"}}
	})
}

// The member list is empty or does not answer: the fleet serves on.
func TestMemberListFails(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("hall", "glaze-8b", card())
		e := r.AddEntry("e")
		ready()
		for n, f := range []standin.Faults{{ListEmpty: true}, {ListDown: true}} {
			r.Store.SetFaults(f)
			time.Sleep(5 * time.Minute)
			if a := r.Chat(background, e, glaze(fmt.Sprint(n), 10)); a.Code != result.OK {
				t.Errorf("%+v: %v", f, a.Code)
			}
		}
		return history.Rules{}
	})
}

// Chat beyond what the engines can do for minutes: donor tags are started
// within twice their bound all the same.
func TestDonorTagsDoNotStarve(t *testing.T) {
	tree := bytes.Replace(trees.Alumni, []byte(`"starve_after_ms": 120000`), []byte(`"starve_after_ms": 10000`), 1)
	deployment(t, tree, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("zona-4", "memoria-7b", &standin.Engine{Card: standin.Card{Step: 25 * time.Millisecond}})
		e := r.AddEntry("e")
		ready()
		var all sync.WaitGroup
		all.Go(func() {
			r.Load(background, 1, 2*time.Minute, []simulation.Kind{
				{Class: "member-chat", Teams: []string{"members"}, Rate: 14, Prompt: 200, Tokens: 60},
			})
		})
		time.Sleep(10 * time.Second)
		for n := range 6 {
			all.Go(func() {
				q := simulation.Ask{ID: fmt.Sprint("tag-", n), Class: "donor-tag", Team: "nightly", Prompt: 200, Tokens: 30}
				if a := r.Chat(background, e, q); a.Code != result.OK {
					t.Errorf("tag %d: %v", n, a.Code)
				}
			})
			time.Sleep(15 * time.Second)
		}
		all.Wait()
		return history.Rules{StartWithin: map[string]time.Duration{"donor-tag": 21 * time.Second}}
	})
}

// A quarter of the agents die at once: the work goes on elsewhere, and requests
// do not multiply.
func TestNoRetryStorm(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		var agents []*simulation.Agent
		for n := range 8 {
			agents = append(agents, r.AddAgent(fmt.Sprint("hall-", n), "glaze-8b", card()))
		}
		r.AddEntry("e0")
		r.AddEntry("e1")
		ready()
		go func() {
			time.Sleep(5 * time.Second)
			r.Kill(agents[0])
			r.Kill(agents[1])
		}()
		figures := r.Load(background, 1, 15*time.Second, ovenhuisLoad(0.5, 0.3, 0.2))
		sent, executed := 0, 0
		for _, f := range figures {
			sent += f.Sent
			if f.OK != f.Sent {
				t.Errorf("%s: %d of %d answered: %v", f.Class, f.OK, f.Sent, f.Codes)
			}
		}
		for _, e := range r.Recorder.Events() {
			if _, ok := e.(history.Executed); ok {
				executed++
			}
		}
		if executed > sent*11/10 {
			t.Errorf("%d executions of %d requests", executed, sent)
		}
		return history.Rules{}
	})
}

// A caller that hangs up stops its work.
func TestHangupStopsTheWork(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		engine := card()
		r.AddAgent("hall", "glaze-8b", engine)
		e := r.AddEntry("e")
		ready()
		ctx, cancel := context.WithTimeout(background, 200*time.Millisecond)
		defer cancel()
		r.Chat(ctx, e, glaze("1", 1000))
		time.Sleep(100 * time.Millisecond)
		if n := engine.Running(); n != 0 {
			t.Errorf("%d requests still run", n)
		}
		return history.Rules{}
	})
}

// Two entries share a team's limits.
func TestTeamLimitOverEntries(t *testing.T) {
	deployment(t, trees.Alumni, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("zona-4", "memoria-7b", card(), card())
		r.AddEntry("e0")
		r.AddEntry("e1")
		ready()
		f := r.Load(background, 1, 20*time.Second, []simulation.Kind{
			{Class: "member-chat", Teams: []string{"board"}, Rate: 60, Prompt: 100, Tokens: 5},
		})[0]
		if want := 20 * 20; f.OK < want*9/10 || f.OK > want*11/10+20 {
			t.Errorf("%d requests were served, the limit is about %d", f.OK, want)
		}
		if f.Codes[result.TeamLimit] != f.Sent-f.OK {
			t.Errorf("codes: %v", f.Codes)
		}
		return history.Rules{}
	})
}

// An agent that leaves while long answers run gets nothing new, whether it says
// so itself or only the list does.
func TestLeavingGetsNothingNew(t *testing.T) {
	leave := map[string]func(r *simulation.Simulation, a *simulation.Agent){
		"own frame": func(r *simulation.Simulation, a *simulation.Agent) {
			if err := r.Stop(background, a); err != nil {
				t.Error(err)
			}
		},
		"list only": func(r *simulation.Simulation, a *simulation.Agent) { r.MarkLeaving(a) },
	}
	within := map[string]time.Duration{"own frame": 100 * time.Millisecond, "list only": 3 * time.Second}
	for name, f := range leave {
		t.Run(name, func(t *testing.T) {
			deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
				leaving := r.AddAgent("hall-0", "glaze-8b", card())
				r.AddAgent("hall-1", "glaze-8b", card())
				e := r.AddEntry("e")
				ready()
				var all sync.WaitGroup
				for n := range 4 {
					all.Go(func() { r.Chat(background, e, glaze(fmt.Sprint("long-", n), 1000)) })
				}
				time.Sleep(time.Second)
				all.Go(func() { f(r, leaving) })
				all.Go(func() { r.Load(background, 1, 8*time.Second, ovenhuisLoad(0.1, 0.1, 0.1)) })
				all.Wait()
				return history.Rules{LeaveWithin: within[name]}
			})
		})
	}
}

// Of many entries a few watch the service; the others get a change through the
// agents in seconds.
func TestFewWatchers(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		r.AddAgent("hall-0", "glaze-8b", card())
		r.AddAgent("hall-1", "glaze-8b", card())
		rules := history.Rules{ForceWithin: 2 * time.Second}
		const entries = 12
		for n := range entries {
			rules.Processes = append(rules.Processes, r.AddEntry(fmt.Sprint("e", n)).Name)
		}
		time.Sleep(20 * time.Second) // the first watches end with the first change
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
				t.Errorf("%s works by version %d, want %d", e.Name, v, last)
			}
		}
		return rules
	})
}

// A data centre goes at once, with its entry, its engines and its services: the
// other entries' callers get their whole answers, nothing runs twice, and the
// lost entry's callers are the only ones without an answer.
func TestDataCentreLost(t *testing.T) {
	deployment(t, trees.Ovenhuis, func(r *simulation.Simulation) history.Rules {
		for n := range 3 {
			r.AddAgent(fmt.Sprint("hall-", n), "glaze-8b", card(), card())
			r.AddService(fmt.Sprint("app-", n), "bookings", &standin.Service{Takes: 50 * time.Millisecond})
			r.AddEntry(fmt.Sprint("entry-", n))
		}
		ready()
		lost := r.Entries()[0]
		kept := r.Entries()[1:]
		var all sync.WaitGroup
		for n := range 120 {
			time.Sleep(30 * time.Millisecond)
			if n == 60 {
				for _, a := range r.Agents() {
					if a.Name == "hall-0" || a.Name == "app-0" {
						r.Kill(a)
					}
				}
				r.KillEntry(lost)
			}
			e := kept[n%2]
			if n < 60 && n%3 == 0 {
				e = lost
			}
			all.Go(func() {
				a := r.Chat(background, e, glaze(fmt.Sprint("chat-", n), 100))
				if e != lost && a.Code != result.OK {
					t.Errorf("chat %d through %s: %v", n, e.Name, a.Code)
				}
			})
			all.Go(func() {
				a := r.Call(background, kept[n%2], booking(fmt.Sprint("book-", n)), http.MethodPost, "/confirmations")
				if a.Code != result.OK && a.Code != result.EndpointLost {
					t.Errorf("booking %d: %v", n, a.Code)
				}
			})
		}
		all.Wait()
		return history.Rules{}
	})
}
