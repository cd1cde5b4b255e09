package simulation_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/foxcross/internal/testing/history"
	"foxcross.dev/foxcross/internal/testing/simulation"
	"foxcross.dev/foxcross/internal/testing/standin"
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
