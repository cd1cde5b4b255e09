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
	requestIDMark     = "#"
	callTimeout       = 60 * time.Second
	cancellationDelay = 100 * time.Millisecond
)

// classStats are the results of the requests of a class.
type classStats struct {
	sent, ok, attained int
	tokens             int
	firsts             []time.Duration
}

// measure sends the mix, prints a table and returns the number of violations.
func (d *user) measure(ctx context.Context, o options) int {
	tree, err := settings.Parse(d.tree)
	if err != nil {
		panic(err) // the example trees are covered by tests
	}
	snapshot, err := settings.Compile(tree)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration+callTimeout)
	defer cancel()
	began := time.Now()
	stats := make([]classStats, len(d.mix))
	var all sync.WaitGroup
	for n, k := range d.mix {
		class, _ := snapshot.Class(k.class)
		all.Go(func() { d.sendKind(ctx, o, n, k, class, &stats[n]) })
	}
	all.Wait()
	took := time.Since(began)
	time.Sleep(cancellationDelay) // events of cancelled work may still arrive
	d.print(stats, took)
	violations := history.Check(d.recorder.Events(), history.Rules{End: time.Now()})
	for _, b := range violations {
		fmt.Println("BROKEN:", b)
	}
	fmt.Printf("promises checked: %d requests, %d broken\n\n", d.totalSent(stats), len(violations))
	return len(violations)
}

func (d *user) totalSent(stats []classStats) int {
	sum := 0
	for _, t := range stats {
		sum += t.sent
	}
	return sum
}

// sendKind sends requests of one kind at random intervals.
func (d *user) sendKind(ctx context.Context, o options, index int, k requestKind, class settings.ClassInfo, t *classStats) {
	random := rand.New(rand.NewPCG(o.Seed, uint64(index)))
	var mu sync.Mutex
	var pending sync.WaitGroup
	end := time.Now().Add(o.Duration)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", k.class, n)
		url := d.urls[random.IntN(len(d.urls))]
		prompt := standin.Prompt(requestIDMark+id+requestIDMark, k.prompt)
		t.sent++
		pending.Go(func() { d.sendRequest(ctx, k, class, url, id, prompt, t, &mu) })
		time.Sleep(time.Duration(random.ExpFloat64() / k.rate * float64(time.Second)))
	}
	pending.Wait()
}

// sendRequest sends a request and records its response.
func (d *user) sendRequest(ctx context.Context, k requestKind, class settings.ClassInfo, url, id, prompt string, t *classStats, mu *sync.Mutex) {
	c := caller.Caller{URL: url, Key: k.team + trees.KeySuffix, Class: k.class}
	s := history.Submitted{ID: id, Class: k.class, Tier: class.Terms.Tier, Repeatable: class.Terms.Repeatable, At: time.Now()}
	var a caller.Answer
	if k.method != "" {
		path := k.path + "/" + escapedRequestID(id)
		s.WantBody = fmt.Sprintf("done: %s %s ", k.method, path)
		d.recorder.Add(s)
		a = c.Service(ctx, d.service, k.method, path)
	} else {
		s.WantBody = standin.AnswerText([]string{prompt}, 0)
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

// escapedRequestID returns the id between marks, escaped for a path.
func escapedRequestID(id string) string { return "%23" + id + "%23" }

func (d *user) print(stats []classStats, took time.Duration) {
	fmt.Printf("%s: %d engines, %d services, 2 entries, %.1f s\n", d.name, len(d.engines), len(d.services), took.Seconds())
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "class\tsent\tok\tattained\tfirst p50 ms\tfirst p95 ms\ttokens/s\t") // to standard output
	delivered := 0
	for n, k := range d.mix {
		t := stats[n]
		delivered += t.tokens
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.3f\t%.0f\t%.0f\t%.0f\t\n", k.class, t.sent, t.ok, // to standard output
			float64(t.attained)/float64(max(1, t.sent)),
			caller.Quantile(t.firsts, 0.5).Seconds()*1000, caller.Quantile(t.firsts, 0.95).Seconds()*1000,
			float64(t.tokens)/took.Seconds())
	}
	_ = w.Flush() // to standard output
	generated := 0
	for _, e := range d.engines {
		generated += e.Tokens()
	}
	fmt.Printf("goodput: %.0f tokens/s; wasted: %d of %d tokens made\n", float64(delivered)/took.Seconds(), generated-delivered, generated)
}
