package soak

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// fault is something that goes wrong. It returns when it is over; several may
// go on at once.
type fault struct {
	name  string
	apply func(d *deployment, amount float64)
}

// faults are all that may strike. The amount, from 0 to 1, says how badly.
var faults = []fault{
	{"kill an entry", func(d *deployment, _ float64) { d.restart(syscall.SIGKILL) }},
	{"stop an entry", func(d *deployment, _ float64) { d.restart(syscall.SIGTERM) }},
	{"freeze an entry", freeze},
	{"reload an entry", reload},
	{"kill all entries", killAll},
	{"store busy", func(d *deployment, amount float64) { d.breakStore(platformtest.Busy, amount) }},
	{"store turns away", func(d *deployment, amount float64) { d.breakStore(platformtest.Many, amount) }},
	{"store resets", func(d *deployment, amount float64) { d.breakStore(platformtest.Reset, amount) }},
	{"store silent", func(d *deployment, amount float64) { d.breakStore(platformtest.Silent, amount) }},
	{"store forgets", func(d *deployment, _ float64) { d.store.Forget() }},
	{"settings change", changeSettings},
	{"settings change often", func(d *deployment, amount float64) {
		for range 2 + int(8*amount) {
			changeSettings(d, amount)
			time.Sleep(30 * time.Millisecond)
		}
	}},
	{"endpoint leaves", leave},
	{"endpoint crashes", crash},
	{"endpoint comes", func(d *deployment, _ float64) { d.addEndpoint() }},
	{"answers go wrong", misbehave},
}

// Planned are the faults that are planned work: nothing may be lost by them.
var Planned = []string{"stop an entry", "reload an entry", "settings change", "endpoint leaves", "endpoint comes"}

// paces are the longest times between two faults, one of which a run takes.
var paces = []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond}

// faults returns those that may strike.
func (o Options) faults() []fault {
	if len(o.Only) == 0 {
		return faults
	}
	var chosen []fault
	for _, f := range faults {
		if slices.Contains(o.Only, f.name) {
			chosen = append(chosen, f)
		}
	}
	return chosen
}

// strike lets faults come at random until the time is over and waits for their
// ends.
func (d *deployment) strike(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	end := time.Now().Add(d.options.Duration)
	chosen := d.options.faults()
	pace := paces[d.random.IntN(len(paces))]
	for time.Now().Before(end) && ctx.Err() == nil {
		d.mu.Lock()
		f := chosen[d.random.IntN(len(chosen))]
		amount := d.random.Float64()
		rest := time.Duration(d.random.Int64N(int64(pace)))
		d.faults[f.name]++
		d.mu.Unlock()
		open.Go(func() { f.apply(d, amount) })
		time.Sleep(rest)
	}
}

// calm ends what no fault ends by itself.
func (d *deployment) calm() {
	d.store.SetFault(platformtest.Sound)
	for range d.options.Endpoints {
		if d.pick(d.options.Endpoints) == nil {
			d.addEndpoint()
		}
	}
	d.configure()
}

// entry returns one of the entries.
func (d *deployment) entry() *entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[d.random.IntN(len(d.entries))]
}

// restart ends an entry by the signal and starts it again.
func (d *deployment) restart(s syscall.Signal) { d.entry().restart(s) }

func (e *entry) restart(s syscall.Signal) {
	e.restarting.Lock()
	defer e.restarting.Unlock()
	e.signal(s)
	e.awaitEnd((stopGrace + 1) * time.Second)
	time.Sleep(100 * time.Millisecond)
	_ = e.start() // the run ends with an entry that does not recover
}

func killAll(d *deployment, _ float64) {
	var all sync.WaitGroup
	for _, e := range d.entries {
		all.Go(func() { e.restart(syscall.SIGKILL) })
	}
	all.Wait()
}

func reload(d *deployment, _ float64) {
	if e := d.entry(); e.settled() {
		e.signal(syscall.SIGHUP)
	}
}

func freeze(d *deployment, amount float64) {
	e := d.entry()
	e.restarting.Lock()
	defer e.restarting.Unlock()
	e.signal(syscall.SIGSTOP)
	d.history.disturb(time.Now())
	time.Sleep(100*time.Millisecond + time.Duration(amount*float64(2*time.Second)))
	d.history.disturb(time.Now())
	e.signal(syscall.SIGCONT)
}

// breakStore lets the store fail for up to three seconds.
func (d *deployment) breakStore(f platformtest.Fault, amount float64) {
	d.history.disturb(time.Now())
	d.store.SetFault(f)
	time.Sleep(100*time.Millisecond + time.Duration(amount*float64(3*time.Second)))
	d.store.SetFault(platformtest.Sound)
	d.history.disturb(time.Now())
}

func changeSettings(d *deployment, _ float64) {
	d.mu.Lock()
	d.extra = !d.extra
	d.mu.Unlock()
	d.configure()
}

// leave lets an endpoint say that it leaves, and end later.
func leave(d *deployment, _ float64) {
	e := d.pick(2)
	if e == nil {
		return
	}
	d.store.Enter(e.runner, "draining")
	d.mu.Lock()
	e.left = time.Now()
	d.mu.Unlock()
	d.addEndpoint()
	time.Sleep(3 * leaveMS * time.Millisecond)
	d.mu.Lock()
	e.gone = true
	d.mu.Unlock()
	d.store.Lose(e.runner)
	e.runner.Close()
}

// crash ends an endpoint; its entry goes later.
func crash(d *deployment, amount float64) {
	e := d.pick(2)
	if e == nil {
		return
	}
	d.mu.Lock()
	e.gone = true
	d.mu.Unlock()
	e.runner.Close()
	time.Sleep(time.Duration(amount * float64(time.Second)))
	d.store.Lose(e.runner)
	d.addEndpoint()
}

// wrongs are what an endpoint may do with a request beside answering it.
var wrongs = []platformtest.Act{
	platformtest.Refuse{Status: http.StatusServiceUnavailable},
	platformtest.Refuse{Status: http.StatusTooManyRequests},
	platformtest.Fail{Status: http.StatusInternalServerError},
	platformtest.Fail{Status: http.StatusServiceUnavailable},
	platformtest.Break{},
	platformtest.Cut{},
	platformtest.Unframed{Body: "cut", Broken: true},
	platformtest.Garbage{},
	platformtest.Unsealed{},
	platformtest.Hang{},
	platformtest.Early{Status: http.StatusInternalServerError},
	platformtest.Events{To: 4, Broken: true},
}

// misbehave lets the next requests of an endpoint go wrong.
func misbehave(d *deployment, amount float64) {
	e := d.pick(1)
	if e == nil {
		return
	}
	for range 1 + int(6*amount) {
		d.mu.Lock()
		a := wrongs[d.random.IntN(len(wrongs))]
		d.mu.Unlock()
		e.runner.Next(a)
	}
}
