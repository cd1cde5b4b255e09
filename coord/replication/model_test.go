package replication_test

import (
	"fmt"
	"testing"

	"foxcross.dev/coord/replication"
)

const modelEvents = 3 // events of a whole stream

// world is a model of one request, its two engines, the copy and the caller. Each field changes by
// one step, and a search visits all orders of steps.
type world struct {
	run        replication.Run
	firstUp    bool
	firstBegan bool
	secondUp   bool
	connected  bool // to the engine that serves the run
	callerHere bool
	made       int // events that the first engine has made
	copied     int // events whose memory the copy has, -1 for no copy
	received   int // events that the caller has
	next       int // event that the second engine makes next, 0 before it continues
	sends      int // to the engine that holds the copy
	firstWorks bool
	joined     bool // the caller got events that don't follow each other
}

func start() world {
	return world{
		run:     replication.Run{Replica: replication.Replica{Endpoint: "b", Address: "b:1"}},
		firstUp: true, secondUp: true, connected: true, callerHere: true, copied: -1,
	}
}

// steps returns all worlds that may follow, by the name of the step.
func (w world) steps() map[string]world {
	all := map[string]world{}
	add := func(name string, possible bool, change func(*world)) {
		if possible {
			next := w
			change(&next)
			all[name] = next
		}
	}
	running := w.run.State == replication.Running
	continuing := w.run.State == replication.Continuing
	add("first begins", running && w.firstUp && w.connected && !w.firstBegan, func(n *world) { n.firstBegan, n.firstWorks = true, true })
	add("first rejects", running && w.firstUp && w.connected && !w.firstBegan, func(n *world) { n.run = n.run.Apply(replication.Rejected) })
	add("first makes an event", running && w.firstWorks && w.connected && w.made < modelEvents, func(n *world) { n.made++ })
	add("caller receives", running && w.callerHere && w.received < w.made, func(n *world) { n.received++ })
	add("copy grows", w.firstWorks && w.firstUp && w.secondUp && w.copied < w.made, func(n *world) { n.copied++ })
	add("copy is lost", w.copied >= 0, func(n *world) { n.copied = -1 })
	add("first completes", running && w.connected && w.received == modelEvents, func(n *world) {
		n.run, n.firstWorks = n.run.Apply(replication.Completed), false
	})
	add("first crashes", w.firstUp, func(n *world) {
		n.firstUp, n.firstWorks = false, false
		if running && n.connected {
			n.connected, n.run = false, n.run.Apply(replication.EngineCrashed)
		}
	})
	add("first is cut off", running && w.connected, func(n *world) { n.connected, n.run = false, n.run.Apply(replication.Broken) })
	add("second crashes", w.secondUp, func(n *world) {
		n.secondUp, n.copied = false, -1
		if continuing {
			n.run = n.run.Apply(replication.EngineCrashed)
		}
	})
	add("caller leaves", w.callerHere, func(n *world) { n.callerHere, n.run = false, n.run.Apply(replication.Abandoned) })
	add("deadline", !w.run.State.Final(), func(n *world) { n.run = n.run.Apply(replication.Abandoned) })
	add("entry continues", w.run.MayContinue(), func(n *world) { n.sends, n.run = n.sends+1, n.run.Apply(replication.Continued) })
	add("second rejects", continuing && w.next == 0 && (!w.secondUp || w.copied < 0), func(n *world) { n.run = n.run.Apply(replication.Rejected) })
	add("second continues", continuing && w.next == 0 && w.secondUp && w.copied >= 0, func(n *world) { n.next = n.received + 1 })
	add("second repeats an event", continuing && w.next > 1, func(n *world) { n.relay(n.next - 1) })
	add("second makes an event", continuing && w.next > 0 && w.next <= modelEvents, func(n *world) {
		n.relay(n.next)
		n.next++
	})
	add("second completes", continuing && w.received == modelEvents, func(n *world) { n.run = n.run.Apply(replication.Completed) })
	return all
}

// relay passes an event of the second engine on, or ends the stream if it does not follow.
func (w *world) relay(event int) {
	if !replication.Follows(fmt.Sprint(w.received), fmt.Sprint(event)) {
		w.run = w.run.Apply(replication.Broken)
		return
	}
	w.joined = w.joined || event != w.received+1
	w.received = event
}

func (w world) violation(before world) string {
	switch {
	case w.sends > 1:
		return "continued twice"
	case w.joined:
		return "two streams are joined with a gap or a repeat"
	case w.run.State == replication.NotRun && w.firstBegan:
		return "reported as not run, but an engine began to run it"
	case w.run.State == replication.Continuing && w.firstUp:
		return "continued while the first engine runs"
	case before.run.State.Final() && w.run.State != before.run.State:
		return "left a final state"
	default:
		return ""
	}
}

// TestModel visits all interleavings of crashes, cuts, events, copies, the caller and the deadline.
func TestModel(t *testing.T) {
	seen := map[world]bool{}
	states := map[replication.State]int{}
	var visit func(w world, path []string)
	visit = func(w world, path []string) {
		if seen[w] {
			return
		}
		seen[w] = true
		states[w.run.State]++
		for name, next := range w.steps() {
			if problem := next.violation(w); problem != "" {
				t.Fatalf("%s: %v", problem, append(path, name))
			}
			visit(next, append(path[:len(path):len(path)], name))
		}
	}
	visit(start(), nil)
	for s := replication.Running; s <= replication.Lost; s++ {
		if states[s] == 0 {
			t.Errorf("no interleaving reaches %v", s)
		}
	}
	t.Logf("%d worlds, by state: %v", len(seen), states)
}
