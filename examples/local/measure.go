package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/testing/caller"
	"foxcross.dev/foxcross/internal/testing/history"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"
)

const (
	idMark     = "#"
	callTime   = 60 * time.Second
	settleTime = 100 * time.Millisecond
)

// tally counts what became of the requests of a class.
type tally struct {
	sent, ok, attained int
	tokens             int
	firsts             []time.Duration
}

// measure sends the mix, prints a table and returns how many promises broke.
func (d *user) measure(ctx context.Context, o options) int {
	tree, err := settings.Parse(d.tree)
	if err != nil {
		panic(err) // the examples' trees are tested
	}
	snapshot, err := settings.Compile(tree)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration+callTime)
	defer cancel()
	began := time.Now()
	tallies := make([]tally, len(d.mix))
	var all sync.WaitGroup
	for n, k := range d.mix {
		class, _ := snapshot.Class(k.class)
		all.Go(func() { d.send(ctx, o, n, k, class, &tallies[n]) })
	}
	all.Wait()
	took := time.Since(began)
	time.Sleep(settleTime) // cancelled work may still be noted
	d.print(tallies, took)
	breaches := history.Check(d.recorder.Events(), history.Rules{End: time.Now()})
	for _, b := range breaches {
		fmt.Println("BROKEN:", b)
	}
	fmt.Printf("promises checked: %d requests, %d broken\n\n", d.sent(tallies), len(breaches))
	return len(breaches)
}

func (d *user) sent(tallies []tally) int {
	sum := 0
	for _, t := range tallies {
		sum += t.sent
	}
	return sum
}

// send sends requests of one kind at random intervals.
func (d *user) send(ctx context.Context, o options, index int, k kind, class settings.ClassInfo, t *tally) {
	random := rand.New(rand.NewPCG(o.Seed, uint64(index)))
	var mu sync.Mutex
	var open sync.WaitGroup
	end := time.Now().Add(o.Duration)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", k.class, n)
		url := d.urls[random.IntN(len(d.urls))]
		prompt := standin.Prompt(idMark+id+idMark, k.prompt)
		t.sent++
		open.Go(func() { d.one(ctx, k, class, url, id, prompt, t, &mu) })
		time.Sleep(time.Duration(random.ExpFloat64() / k.rate * float64(time.Second)))
	}
	open.Wait()
}

// one sends a request and records its answer.
func (d *user) one(ctx context.Context, k kind, class settings.ClassInfo, url, id, prompt string, t *tally, mu *sync.Mutex) {
	c := caller.Caller{URL: url, Key: k.team + trees.KeySuffix, Class: k.class}
	s := history.Submitted{ID: id, Class: k.class, Tier: class.Terms.Tier, Repeatable: class.Terms.Repeatable, At: time.Now()}
	var a caller.Answer
	if k.method != "" {
		path := k.path + "/" + idMark2(id)
		s.Want = fmt.Sprintf("done: %s %s ", k.method, path)
		d.recorder.Add(s)
		a = c.Service(ctx, d.service, k.method, path)
	} else {
		s.Want = standin.AnswerText([]string{prompt}, 0)
		d.recorder.Add(s)
		a = c.Chat(ctx, d.model, prompt)
	}
	d.recorder.Add(history.Answered{ID: id, Code: a.Code, Run: a.Run, Body: a.Body, At: time.Now()})
	mu.Lock()
	defer mu.Unlock()
	t.tokens += a.Tokens
	if a.Code != result.OK {
		return
	}
	t.ok++
	t.firsts = append(t.firsts, a.First)
	if a.Meets(class) {
		t.attained++
	}
}

// idMark2 is the mark as it stands in a path.
func idMark2(id string) string { return "%23" + id + "%23" }

func (d *user) print(tallies []tally, took time.Duration) {
	fmt.Printf("%s: %d engines, %d services, 2 entries, %.1f s\n", d.name, len(d.engines), len(d.services), took.Seconds())
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "class\tsent\tok\tattained\tfirst p50 ms\tfirst p95 ms\ttokens/s\t") // to standard output
	delivered := 0
	for n, k := range d.mix {
		t := tallies[n]
		delivered += t.tokens
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.3f\t%.0f\t%.0f\t%.0f\t\n", k.class, t.sent, t.ok, // to standard output
			float64(t.attained)/float64(max(1, t.sent)),
			caller.Quantile(t.firsts, 0.5).Seconds()*1000, caller.Quantile(t.firsts, 0.95).Seconds()*1000,
			float64(t.tokens)/took.Seconds())
	}
	_ = w.Flush() // to standard output
	made := 0
	for _, e := range d.engines {
		made += e.Tokens()
	}
	fmt.Printf("goodput: %.0f tokens/s; wasted: %d of %d tokens made\n", float64(delivered)/took.Seconds(), made-delivered, made)
}
