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
	linkDelay   = 500 * time.Microsecond // of a message between processes
	timerExpiry = 2 * time.Minute        // virtual time in which the timers of closed connections expire
)

// background is the context of requests without a timeout.
var background = context.Background()

// runSimulation runs f on a simulation in virtual time and checks the history.
func runSimulation(t *testing.T, tree []byte, f func(r *simulation.Simulation) history.Rules) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r, err := simulation.New(tree, linkDelay)
		if err != nil {
			t.Fatal(err)
		}
		rules := f(r)
		rules.End = time.Now()
		for _, b := range history.Check(r.Recorder.Events(), rules) {
			t.Error(b)
		}
		r.Close()
		time.Sleep(timerExpiry)
	})
}

// newEngine returns an engine that generates a token in ten milliseconds.
func newEngine() *standin.Engine {
	return &standin.Engine{Card: standin.Card{Step: 10 * time.Millisecond}}
}

// meanAnswerTokens is the mean length of the responses of a load.
const meanAnswerTokens = 60

// ovenhuisLoad returns a mix of three classes, each as a fraction of the capacity of the engines at
// the strictest target, about 80 requests a second.
func ovenhuisLoad(question, plan, check float64) []simulation.ClassLoad {
	const capacity = 80
	return []simulation.ClassLoad{
		{Class: "glaze-question", Teams: []string{"gent", "leuven", "namur"}, Rate: capacity * question, Prompt: 400, Tokens: meanAnswerTokens},
		{Class: "firing-plan", Teams: []string{"gent", "leuven", "mons"}, Rate: capacity * plan, Prompt: 1200, Tokens: meanAnswerTokens},
		{Class: "load-check", Teams: []string{"technicians"}, Rate: capacity * check, Prompt: 800, Tokens: meanAnswerTokens},
	}
}

// awaitAgents waits until the entries are connected to the agents.
func awaitAgents() { time.Sleep(3 * time.Second) }

func chatRequest(id string, tokens int) simulation.Request {
	return simulation.Request{ID: id, Class: "glaze-question", Team: "gent", PromptBytes: 100, Tokens: tokens}
}

func bookingRequest(id string) simulation.Request {
	return simulation.Request{ID: id, Class: "booking-confirm", Team: "gent"}
}
