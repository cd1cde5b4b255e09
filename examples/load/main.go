// Command load sends chats to an entry at a rate and prints what became of
// them, with the processor time of processes that it is told to watch.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/testing/caller"
	"foxcross.dev/foxcross/internal/testing/flags"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/result"
)

// options are the flags.
type options struct {
	Entry    string        `long:"entry" default:"http://127.0.0.1:8010" description:"URL of an entry"`
	Key      string        `long:"key" default:"gent-key" description:"bearer key of a team"`
	Class    string        `long:"class" default:"glaze-question" description:"class of the chats"`
	Model    string        `long:"model" default:"glaze-8b" description:"model of the chats"`
	Rate     float64       `long:"rate" default:"50" description:"chats a second"`
	Tokens   int           `long:"tokens" default:"60" description:"tokens of an answer"`
	Prompt   int           `long:"prompt" default:"400" description:"bytes of a prompt"`
	Duration time.Duration `long:"duration" default:"20s" description:"how long chats are sent"`
	Watch    []int         `long:"watch" description:"id of a process whose processor time and memory are printed"`
}

func main() {
	var o options
	flags.Parse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

// tally counts answers.
type tally struct {
	mu     sync.Mutex
	codes  map[result.Code]int
	tokens int
	firsts []time.Duration
	gaps   []time.Duration
}

func run(o options) error {
	before, err := usages(o.Watch)
	if err != nil {
		return err
	}
	t := tally{codes: map[result.Code]int{}}
	began := time.Now()
	t.send(o)
	took := time.Since(began)
	after, err := usages(o.Watch)
	if err != nil {
		return err
	}
	t.print(took)
	for n, id := range o.Watch {
		spent := after[n].processor - before[n].processor
		fmt.Printf("process %d: %.3f s of a core, %.1f us a token, %.2f in 100 of a core, %d KB resident\n", id,
			spent.Seconds(), float64(spent.Microseconds())/float64(max(1, t.tokens)),
			100*spent.Seconds()/took.Seconds(), after[n].residentKB)
	}
	return nil
}

func (t *tally) send(o options) {
	random := rand.New(rand.NewPCG(1, 1))
	c := caller.Caller{URL: o.Entry, Key: o.Key, Class: o.Class, Most: o.Tokens}
	end := time.Now().Add(o.Duration)
	var all sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		if o.Rate <= 0 {
			time.Sleep(time.Until(end))
			break
		}
		prompt := standin.Prompt(fmt.Sprint("question ", n), o.Prompt)
		all.Go(func() { t.note(c.Chat(context.Background(), o.Model, prompt)) })
		time.Sleep(time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second)))
	}
	all.Wait()
}

func (t *tally) note(a caller.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.codes[a.Code]++
	t.tokens += a.Tokens
	t.firsts = append(t.firsts, a.First)
	t.gaps = append(t.gaps, a.Gaps...)
}

func (t *tally) print(took time.Duration) {
	for c, n := range t.codes {
		fmt.Printf("%v: %d\n", c, n)
	}
	fmt.Printf("%.0f tokens/s; first token p50 %v, p95 %v; between tokens p50 %v, p95 %v\n",
		float64(t.tokens)/took.Seconds(), caller.Quantile(t.firsts, 0.5), caller.Quantile(t.firsts, 0.95),
		caller.Quantile(t.gaps, 0.5), caller.Quantile(t.gaps, 0.95))
}
