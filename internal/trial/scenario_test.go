package trial_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/history"
	"foxcross.dev/foxcross/internal/standin"
	"foxcross.dev/foxcross/internal/trial"
)

var (
	measure  = flag.Bool("measure", false, "run the scenario benchmarks and print their tables")
	only     = flag.String("scenario", "", "run only scenarios whose name contains this")
	variant  = flag.String("variant", "", "run only variants whose name contains this")
	fanouts  = flag.Bool("fanouts", false, "compare numbers of offers instead of baselines")
	seedFlag = flag.Uint64("seed", 1, "seed of the loads")
	jsonFile = flag.String("json", "", "also write the figures to this file")
)

const (
	halls       = 4
	entries     = 3
	oneWay      = 500 * time.Microsecond
	lengthOfRun = 30 * time.Second
	meanTokens  = 60
	settle      = 2 * time.Minute
	prefill     = 100e3 // bytes of a prompt a second, on a new card
	cache       = 400   // blocks of prompts that a card keeps
)

// scenario is a load and what goes wrong meanwhile.
type scenario struct {
	name  string
	tree  []byte
	kinds func() []trial.Kind
	fault func(r *trial.Trial, agents []*trial.Agent)
}

// ovenhuisLoad is a mix as a share of what the engines can do at the strictest
// target, about 80 requests a second.
func ovenhuisLoad(glaze, plan, check float64) func() []trial.Kind {
	const capacity = 80
	return func() []trial.Kind {
		return []trial.Kind{
			{Class: "glaze-question", Teams: []string{"gent", "leuven", "namur"}, Rate: trial.Steady(capacity * glaze), Prompt: 400, Tokens: meanTokens},
			{Class: "firing-plan", Teams: []string{"gent", "leuven", "mons"}, Rate: trial.Steady(capacity * plan), Prompt: 1200, Tokens: meanTokens},
			{Class: "load-check", Teams: []string{"technicians"}, Rate: trial.Steady(capacity * check), Prompt: 800, Tokens: meanTokens},
		}
	}
}

func noFault(*trial.Trial, []*trial.Agent) {}

func scenarios() []scenario {
	return []scenario{
		{"steady 0.8", trees.Ovenhuis, ovenhuisLoad(0.3, 0.3, 0.2), noFault},
		{"overload 1.5", trees.Ovenhuis, ovenhuisLoad(0.6, 0.5, 0.4), noFault},
		{"monday burst", trees.Ovenhuis, mondayBurst, noFault},
		{"quarter slow", trees.Ovenhuis, ovenhuisLoad(0.3, 0.2, 0.2), quarterSlow},
		{"long notes", trees.Ovenhuis, longNotes, noFault},
		{"shared records", trees.Ovenhuis, sharedRecords, noFault},
		{"crash", trees.Ovenhuis, ovenhuisLoad(0.3, 0.2, 0.2), crash},
		{"rolling stop", trees.Ovenhuis, ovenhuisLoad(0.3, 0.2, 0.1), rollingStop},
	}
}

// mondayBurst has ten times as many firing plans for five seconds.
func mondayBurst() []trial.Kind {
	kinds := ovenhuisLoad(0.3, 0.2, 0.1)()
	usual := kinds[1].Rate(0)
	kinds[1].Rate = func(since time.Duration) float64 {
		if since > 8*time.Second && since < 13*time.Second {
			return 10 * usual
		}
		return usual
	}
	return kinds
}

// longNotes has lower-tier work that keeps its slots for long, and a burst of
// questions.
func longNotes() []trial.Kind {
	kinds := ovenhuisLoad(0.1, 0, 0.06)()
	kinds[2].Tokens = 1500
	usual := kinds[0].Rate(0)
	kinds[0].Rate = func(since time.Duration) float64 {
		if since > 15*time.Second && since < 20*time.Second {
			return 8 * usual
		}
		return usual
	}
	return kinds
}

// sharedRecords has long prompts of which many share the beginning.
func sharedRecords() []trial.Kind {
	kinds := ovenhuisLoad(0.1, 0.4, 0)()
	kinds[1].Prompt = 24 << 10
	kinds[1].Groups = 40
	return kinds
}

// quarterSlow slows the engines of a hall to a quarter for a third of the run.
func quarterSlow(_ *trial.Trial, agents []*trial.Agent) {
	time.Sleep(lengthOfRun / 3)
	for _, e := range agents[0].Engines {
		e.Slow(4)
	}
	time.Sleep(lengthOfRun / 3)
	for _, e := range agents[0].Engines {
		e.Slow(1)
	}
}

// crash ends an agent at once and starts it again, then breaks an engine.
func crash(r *trial.Trial, agents []*trial.Agent) {
	time.Sleep(lengthOfRun / 3)
	r.Kill(agents[0])
	time.Sleep(3 * time.Second)
	r.Restart(agents[0])
	time.Sleep(3 * time.Second)
	agents[1].Engines[0].Break(true)
	time.Sleep(5 * time.Second)
	agents[1].Engines[0].Break(false)
}

// rollingStop stops each agent cleanly and starts it again.
func rollingStop(r *trial.Trial, agents []*trial.Agent) {
	for _, a := range agents {
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		_ = r.Stop(ctx, a)
		cancel()
		time.Sleep(time.Second)
		r.Restart(a)
	}
}

// outcome is what a scenario came to under a variant.
type outcome struct {
	Scenario string          `json:"scenario"`
	Variant  string          `json:"variant"`
	Seed     uint64          `json:"seed"`
	Figures  []trial.Figures `json:"figures"`
	Goodput  float64         `json:"goodput_tokens_per_s"` // answers whole while requests were sent
	Useful   float64         `json:"useful_tokens_per_s"`  // answers that met all targets
	Wasted   float64         `json:"wasted_share"`
	Breaches []string        `json:"broken_promises"`
}

// run runs a scenario in virtual time.
func run(t *testing.T, s scenario, v trial.Variant, seed uint64) outcome {
	t.Helper()
	o := outcome{Scenario: s.name, Variant: v.Name, Seed: seed}
	synctest.Test(t, func(t *testing.T) {
		r, err := trial.New(s.tree, v, oneWay)
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			r.Close()
			time.Sleep(settle) // timers of closed connections run out
		}()
		var agents []*trial.Agent
		var engines []*standin.Engine
		for n := range halls {
			fresh := &standin.Engine{Card: standin.Card{Step: 10 * time.Millisecond, Prefill: prefill, Cache: cache}}
			old := &standin.Engine{Card: standin.Card{Step: 25 * time.Millisecond, Prefill: prefill / 2, Cache: cache}}
			engines = append(engines, fresh, old)
			agents = append(agents, r.AddAgent(fmt.Sprintf("hall-%d", n), "glaze-8b", fresh, old))
		}
		for n := range entries {
			r.AddEntry(fmt.Sprintf("entry-%d", n))
		}
		time.Sleep(3 * time.Second)
		go s.fault(r, agents)
		o.Figures = r.Load(context.Background(), seed, lengthOfRun, s.kinds())
		time.Sleep(time.Second)
		made, delivered := 0, 0
		for _, e := range engines {
			made += e.Tokens()
		}
		for _, f := range o.Figures {
			delivered += f.Tokens
			o.Goodput += float64(f.InTime) / lengthOfRun.Seconds()
			o.Useful += float64(f.Useful) / lengthOfRun.Seconds()
		}
		o.Wasted = float64(made-delivered) / float64(max(1, made))
		for _, b := range history.Check(r.Recorder.Events(), history.Rules{LeaveWithin: 3 * time.Second, End: time.Now()}) {
			o.Breaches = append(o.Breaches, b.String())
		}
	})
	return o
}

func (o outcome) print(w *tabwriter.Writer) {
	for _, f := range o.Figures {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.3f\t%d\t\n", o.Variant, f.Class, f.Sent,
			float64(f.OK)/float64(max(1, f.Sent)), f.FirstShare(), f.Attainment(),
			f.Tail, o.Goodput, o.Useful, o.Wasted, len(o.Breaches))
	}
}

// TestMeasure prints the scenario benchmarks; docs/MEASURING.md says how.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	variants := append([]trial.Variant{trial.Late}, trial.Baselines...)
	if *fanouts {
		variants = nil
		for d := 1; d <= 5; d++ {
			variants = append(variants, trial.Variant{Name: fmt.Sprintf("late d=%d", d), Fanout: d})
		}
	}
	var all []outcome
	for _, s := range scenarios() {
		if !strings.Contains(s.name, *only) {
			continue
		}
		fmt.Printf("\n%s, seed %d\n", s.name, *seedFlag)
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
		_, _ = fmt.Fprintln(w, "variant\tclass\tsent\tok\tfirst met\tattained\tfirst p95 ms\tgoodput\tuseful\twasted\tbroken\t")
		for _, v := range variants {
			if !strings.Contains(v.Name, *variant) {
				continue
			}
			o := run(t, s, v, *seedFlag)
			o.print(w)
			all = append(all, o)
			for n, b := range o.Breaches {
				if n < 3 {
					fmt.Println("BROKEN", o.Variant, b)
				}
			}
		}
		_ = w.Flush() // to standard output
	}
	if *jsonFile == "" {
		return
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*jsonFile, data, 0o644); err != nil {
		t.Fatal(err)
	}
}
