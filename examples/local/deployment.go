package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	trees "foxcross.dev/foxcross/examples/settings"
	"foxcross.dev/foxcross/internal/testing/deployment"
	"foxcross.dev/foxcross/internal/testing/history"
	"foxcross.dev/foxcross/internal/testing/standin"

	"foxcross.dev/coord/settings"
)

// user is one user of foxcross: its instances, endpoints and mix of requests.
type user struct {
	name        string
	tree        []byte
	model       string
	service     string
	dataCentres []string
	mix         []requestKind
	fleet       *deployment.Deployment
	recorder    history.Recorder
	engines     []*standin.Engine
	services    []*standin.Service
	urls        []string
}

// requestKind describes the requests of one class of the mix.
type requestKind struct {
	class  string
	team   string
	rate   float64 // requests a second
	prompt int     // bytes
	method string  // plain services
	path   string  // plain services
}

func users() []*user {
	return []*user{
		{
			name: "Ovenhuis", tree: trees.Ovenhuis, model: "glaze-8b", service: "bookings",
			dataCentres: []string{"gent", "leuven", "namur", "mechelen"},
			mix: []requestKind{
				{class: "glaze-question", team: "gent", rate: 20, prompt: 400},
				{class: "firing-plan", team: "leuven", rate: 15, prompt: 1200},
				{class: "load-check", team: "technicians", rate: 15, prompt: 800},
				{class: "booking-confirm", team: "namur", rate: 10, method: http.MethodPost, path: "/confirmations"},
				{class: "booking-lookup", team: "schools", rate: 10, method: http.MethodGet, path: "/slots"},
			},
		},
		{
			name: "Alumni", tree: trees.Alumni, model: "memoria-7b", service: "portal",
			dataCentres: []string{"zona-4", "zona-10", "mixco"},
			mix: []requestKind{
				{class: "member-chat", team: "members", rate: 20, prompt: 300},
				{class: "reunion-summary", team: "coordinators", rate: 5, prompt: 20000},
				{class: "donor-tag", team: "nightly", rate: 15, prompt: 500},
				{class: "member-card", team: "members", rate: 15, method: http.MethodGet, path: "/cards"},
				{class: "event-page", team: "zona-4", rate: 10, method: http.MethodGet, path: "/events"},
			},
		},
	}
}

// start starts two entries and, in each data centre, an agent with a new and an old
// engine and an agent with a service.
func (d *user) start(ctx context.Context) error {
	f, err := deployment.New()
	if err != nil {
		return err
	}
	d.fleet = f
	if err := f.ReplaceSettings(ctx, d.tree); err != nil {
		return err
	}
	for _, c := range d.dataCentres {
		if err := d.addAgents(c); err != nil {
			return err
		}
	}
	for n := range 2 {
		e, err := f.AddEntry(fmt.Sprintf("entry-%d", n+1), d.dataCentres[n])
		if err != nil {
			return err
		}
		d.urls = append(d.urls, e.URL)
	}
	return f.WaitReady(ctx)
}

func (d *user) addAgents(dataCentre string) error {
	newEngine := &standin.Engine{Card: standin.Card{Step: 4 * time.Millisecond, Batch: 16}}
	oldEngine := &standin.Engine{Card: standin.Card{Step: 10 * time.Millisecond, Batch: 8}}
	for _, e := range []*standin.Engine{newEngine, oldEngine} {
		d.engines = append(d.engines, e)
		e.OnStart = func(prompt string) { d.recordExecution(prompt, dataCentre) }
	}
	_, err := d.fleet.AddAgent("runner-"+dataCentre, dataCentre,
		deployment.Backend{Target: d.model, Handler: newEngine.Handler()},
		deployment.Backend{Target: d.model, Handler: oldEngine.Handler()})
	if err != nil {
		return err
	}
	service := &standin.Service{Latency: 5 * time.Millisecond}
	service.OnStart = func(call string) { d.recordExecution(call, dataCentre) }
	d.services = append(d.services, service)
	_, err = d.fleet.AddAgent("app-"+dataCentre, dataCentre,
		deployment.Backend{Target: settings.ServiceTarget(d.service), Handler: service})
	return err
}

// recordExecution records that an endpoint started to execute a request. The text of the
// request contains its id between two marks.
func (d *user) recordExecution(text, endpoint string) {
	_, after, _ := strings.Cut(text, requestIDMark)
	id, _, _ := strings.Cut(after, requestIDMark)
	d.recorder.Add(history.Executed{ID: id, Endpoint: endpoint, At: time.Now()})
}

// exampleCommands returns command lines that work while the deployment runs.
func (d *user) exampleCommands() []string {
	var lines []string
	for _, k := range d.mix {
		key := fmt.Sprintf("-H 'Authorization: Bearer %s%s' -H 'X-Foxcross-Class: %s'", k.team, trees.KeySuffix, k.class)
		if k.method != "" {
			lines = append(lines, fmt.Sprintf("curl -i -X %s %s %s/services/%s%s/1", k.method, key, d.urls[0], d.service, k.path))
			continue
		}
		body := fmt.Sprintf(`{"model":"%s","stream":true,"messages":[{"role":"user","content":"Which glaze for cone 6?"}]}`, d.model)
		lines = append(lines, fmt.Sprintf("curl -iN %s -d '%s' %s/v1/chat/completions", key, body, d.urls[0]))
	}
	return lines
}
