package soak

import (
	"math"
	"net/http"
	"sync"
	"syscall"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// fault is something that goes wrong. Several may go on at once.
type fault struct {
	name    string
	attacks []Promise
	planned bool // whether it is planned work, by which nothing may be lost
	// apply returns when the fault is over. The amount, from 0 to 1, says how
	// badly it strikes.
	apply func(d *deployment, amount float64)
}

// faults are all that may strike, with the promises that each of them attacks.
// A seed draws them by their places in the list: a new fault goes to its end.
var faults = []fault{
	{"kill an entry", []Promise{OwnAnswer, AtMostOnce, NeverBack, OneReport, Recovers}, false,
		func(d *deployment, _ float64) { d.restart(syscall.SIGKILL) }},
	{"stop an entry", []Promise{OwnAnswer, NotRun, Recovers}, true,
		func(d *deployment, _ float64) { d.restart(syscall.SIGTERM) }},
	{"freeze an entry", []Promise{NothingNew, NeverBack, Recovers}, false, freeze},
	{"reload an entry", []Promise{OwnAnswer, Recovers}, true, reload},
	{"kill all entries", []Promise{NeverBack, Recovers}, false, killAll},
	{"store busy", []Promise{NothingNew, NeverBack, Recovers}, false, storeFault(platformtest.Busy)},
	{"store turns away", []Promise{NothingNew, NeverBack, Recovers}, false, storeFault(platformtest.Many)},
	{"store resets", []Promise{NothingNew, NeverBack, Recovers}, false, storeFault(platformtest.Reset)},
	{"store silent", []Promise{NothingNew, NeverBack, Recovers}, false, storeFault(platformtest.Silent)},
	{"store forgets", []Promise{NeverBack, Recovers}, false,
		func(d *deployment, _ float64) { d.store.Forget() }},
	{"settings change", []Promise{Untouched, NeverBack}, true, changeSettings},
	{"settings change often", []Promise{Untouched, NeverBack, Recovers}, false, changeSettingsOften},
	{"endpoint leaves", []Promise{OwnAnswer, NothingNew, GoodSource}, true, leave},
	{"endpoint crashes", []Promise{OwnAnswer, InOrder, AtMostOnce, NotRun}, false, crash},
	{"endpoint comes", []Promise{OwnAnswer, Untouched}, true,
		func(d *deployment, _ float64) { d.addEndpoint() }},
	{"answers go wrong", []Promise{OwnAnswer, InOrder, AtMostOnce, NotRun, Untouched}, false, misbehave},
	{"settings grow", []Promise{NothingNew, NeverBack, NothingLost, Recovers}, true, growSettings},
	{"reports fail", []Promise{OneReport, Recovers}, false, reportsFail},
	{"data centre evacuated", []Promise{Emptied, InRegion, WarmsUp, OwnAnswer}, true, evacuate},
	{"endpoint names a limit", []Promise{Heeds, OwnAnswer}, true, nameLimit},
	{"endpoint asks for a backoff", []Promise{BacksOff, NotRun, AtMostOnce, OwnAnswer}, true, askForBackoff},
	{"endpoint drains in its responses", []Promise{Drains, OwnAnswer, InOrder}, true, drainInResponses},
}

// How long faults last and what they do,.
const (
	restartPause    = 100 * time.Millisecond // between an entry's end and its next start
	shortestFault   = 100 * time.Millisecond // of a freeze, of a failing store
	longestFreeze   = 2 * time.Second        // beside the shortest
	longestOutage   = 3 * time.Second        // of the store, beside the shortest
	longestPresence = time.Second            // of a crashed endpoint in the list
	changePause     = 30 * time.Millisecond  // between two changes of the settings
	fewestChanges   = 2                      // of the settings, one after another
	moreChanges     = 8                      // beside the fewest
	moreWrong       = 6                      // requests in a row that go wrong, beside the first
	mostRoutes      = 5000                   // some 0.9 MB of settings, about the store's largest value
)

// lasting returns the shortest time of a fault and a part of the longest.
func lasting(amount float64, longest time.Duration) time.Duration {
	return shortestFault + time.Duration(amount*float64(longest))
}

// Planned returns the names of the faults that are planned work.
func Planned() []string {
	var names []string
	for _, f := range faults {
		if f.planned {
			names = append(names, f.name)
		}
	}
	return names
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
	time.Sleep(restartPause)
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
	d.history.disturb(time.Now())
	e.freeze(lasting(amount, longestFreeze))
	d.history.disturb(time.Now())
}

// storeFault lets the store fail in one way and work again.
func storeFault(f platformtest.Fault) func(d *deployment, amount float64) {
	return func(d *deployment, amount float64) {
		d.history.disturb(time.Now())
		d.store.SetFault(f)
		time.Sleep(lasting(amount, longestOutage))
		d.store.SetFault(platformtest.Sound)
		d.history.disturb(time.Now())
	}
}

func changeSettings(d *deployment, _ float64) {
	d.mu.Lock()
	d.extra = !d.extra
	d.mu.Unlock()
	d.configure()
}

func changeSettingsOften(d *deployment, amount float64) {
	for range fewestChanges + int(moreChanges*amount) {
		changeSettings(d, amount)
		time.Sleep(changePause)
	}
}

// growSettings changes the number of routes, small numbers being as likely as large ones.
func growSettings(d *deployment, amount float64) {
	d.mu.Lock()
	d.routes = int(math.Pow(mostRoutes, amount))
	d.mu.Unlock()
	d.configure()
}

// leave lets an endpoint say that it leaves, and end later.
func leave(d *deployment, _ float64) {
	e := d.pick(2)
	if e == nil {
		return
	}
	d.mu.Lock()
	d.store.Enter(e.runner, "draining")
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
	time.Sleep(time.Duration(amount * float64(longestPresence)))
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
	for range 1 + int(moreWrong*amount) {
		d.mu.Lock()
		a := wrongs[d.random.IntN(len(wrongs))]
		d.mu.Unlock()
		e.runner.Next(a)
	}
}
