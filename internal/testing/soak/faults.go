package soak

import (
	"math"
	"net/http"
	"sync"
	"syscall"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// fault is a fault that can be injected. Several may be active at once.
type fault struct {
	name     string
	promises []Promise
	planned  bool // planned work, during which no request may be lost
	// inject returns when the fault is over. The amount, from 0 to 1, is its severity.
	inject func(d *deployment, amount float64)
}

// allFaults are the faults with the promises that each of them may break. A seed selects them by
// their index, so a new fault is appended.
var allFaults = []fault{
	{"kill an entry", []Promise{OwnCompleteAnswer, AtMostOnce, SettingsMonotonic, UsageReportedOnce, Recovers}, false,
		func(d *deployment, _ float64) { d.restartEntry(syscall.SIGKILL) }},
	{"stop an entry", []Promise{OwnCompleteAnswer, NotRun, Recovers}, true,
		func(d *deployment, _ float64) { d.restartEntry(syscall.SIGTERM) }},
	{"freeze an entry", []Promise{NoRequestsAfterLeaving, SettingsMonotonic, Recovers}, false, freezeEntry},
	{"reload an entry", []Promise{OwnCompleteAnswer, Recovers}, true, reloadEntry},
	{"kill all entries", []Promise{SettingsMonotonic, Recovers}, false, killAllEntries},
	{"store busy", []Promise{NoRequestsAfterLeaving, SettingsMonotonic, Recovers}, false, storeFault(platformtest.Busy)},
	{"store turns away", []Promise{NoRequestsAfterLeaving, SettingsMonotonic, Recovers}, false, storeFault(platformtest.TooManyRequests)},
	{"store resets", []Promise{NoRequestsAfterLeaving, SettingsMonotonic, Recovers}, false, storeFault(platformtest.Reset)},
	{"store silent", []Promise{NoRequestsAfterLeaving, SettingsMonotonic, Recovers}, false, storeFault(platformtest.Silent)},
	{"store forgets", []Promise{SettingsMonotonic, Recovers}, false,
		func(d *deployment, _ float64) { d.store.CompactHistory() }},
	{"settings change", []Promise{RequestUnmodified, SettingsMonotonic}, true, changeSettings},
	{"settings change often", []Promise{RequestUnmodified, SettingsMonotonic, Recovers}, false, changeSettingsOften},
	{"endpoint leaves", []Promise{OwnCompleteAnswer, NoRequestsAfterLeaving, ValidFetchSource}, true, drainEndpoint},
	{"endpoint crashes", []Promise{OwnCompleteAnswer, InOrder, AtMostOnce, NotRun, ContinuedAfterCrash}, false, crashEndpoint},
	{"endpoint comes", []Promise{OwnCompleteAnswer, RequestUnmodified}, true,
		func(d *deployment, _ float64) { d.addEndpoint() }},
	{"answers go wrong", []Promise{OwnCompleteAnswer, InOrder, AtMostOnce, NotRun, RequestUnmodified}, false, injectFaultyBehaviors},
	{"settings grow", []Promise{NoRequestsAfterLeaving, SettingsMonotonic, NoRequestLost, Recovers}, true, growSettings},
	{"reports fail", []Promise{UsageReportedOnce, Recovers}, false, failReports},
	{"data centre evacuated", []Promise{EvacuationHonoured, InRegion, WarmupLimitHonoured, OwnCompleteAnswer}, true, evacuate},
	{"endpoint names a limit", []Promise{RateLimitHonoured, OwnCompleteAnswer}, true, advertiseLimits},
	{"endpoint asks for a backoff", []Promise{BackoffHonoured, NotRun, AtMostOnce, OwnCompleteAnswer}, true, askForBackoff},
	{"endpoint drains in its responses", []Promise{DrainingHonoured, OwnCompleteAnswer, InOrder}, true, drainInResponses},
	{"a team sends many times its usual", []Promise{NoTeamStarves, NotRun, AtMostOnce}, true, contend},
	{"an engine has a slow spell", []Promise{OwnCompleteAnswer, InOrder, NoTeamStarves}, true, slowDown},
	{"an engine crashes in a copied stream", []Promise{ContinuedAfterCrash, InOrder, AtMostOnce, NotRun}, false, crashInStream},
	{"engines are released", []Promise{OneVersion, StreamsGoOn, OwnCompleteAnswer, InOrder}, true, release},
	{"an entry is out of step during a release", []Promise{OneVersion, StreamsGoOn, InOrder, SettingsMonotonic, Recovers}, false, releaseOutOfStep},
}

// Durations and sizes of faults.
const (
	restartPause         = 100 * time.Millisecond // between the end of an entry and its next start
	minFaultDuration     = 100 * time.Millisecond // of a freeze or a failing store
	extraFreeze          = 2 * time.Second        // in addition to the shortest
	extraOutage          = 3 * time.Second        // of the store, in addition to the shortest
	maxListedAfterCrash  = time.Second            // of the record of a crashed endpoint
	settingsChangePause  = 30 * time.Millisecond  // between two changes of the settings
	minSettingsChanges   = 2                      // in succession
	extraSettingsChanges = 8                      // in addition to the fewest
	slowSpellFactor      = 2.5                    // times longer that a slow engine takes
	extraSlowSpell       = 600 * time.Millisecond // in addition to the shortest fault
	extraFaultyResponses = 6                      // consecutive faulty responses, in addition to the first
	maxExtraRoutes       = 5000                   // about 0.9 MB of settings, close to the store's largest value
)

// faultDuration returns the shortest duration of a fault plus the fraction amount of extra.
func faultDuration(amount float64, extra time.Duration) time.Duration {
	return minFaultDuration + time.Duration(amount*float64(extra))
}

// Planned returns the names of the faults that are planned work.
func Planned() []string {
	var names []string
	for _, f := range allFaults {
		if f.planned {
			names = append(names, f.name)
		}
	}
	return names
}

// randomEntry returns a random entry.
func (d *deployment) randomEntry() *entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[d.random.IntN(len(d.entries))]
}

// restartEntry ends a random entry by the signal and starts it again.
func (d *deployment) restartEntry(s syscall.Signal) { d.randomEntry().restart(s) }

func (e *entry) restart(s syscall.Signal) {
	e.signalMu.Lock()
	defer e.signalMu.Unlock()
	e.signal(s)
	e.awaitEnd((stopGraceSeconds + 1) * time.Second)
	time.Sleep(restartPause)
	_ = e.start() // a failure shows as an entry that does not recover
}

func killAllEntries(d *deployment, _ float64) {
	var all sync.WaitGroup
	for _, e := range d.entries {
		all.Go(func() { e.restart(syscall.SIGKILL) })
	}
	all.Wait()
}

func reloadEntry(d *deployment, _ float64) {
	if e := d.randomEntry(); e.handlesSignals() {
		e.signal(syscall.SIGHUP)
	}
}

func freezeEntry(d *deployment, amount float64) {
	e := d.randomEntry()
	e.signalMu.Lock()
	defer e.signalMu.Unlock()
	d.history.recordDisturbance(time.Now())
	e.freeze(faultDuration(amount, extraFreeze))
	d.history.recordDisturbance(time.Now())
}

// storeFault returns a fault that makes the store fail in one way for a time.
func storeFault(f platformtest.Fault) func(d *deployment, amount float64) {
	return func(d *deployment, amount float64) {
		d.history.recordDisturbance(time.Now())
		d.store.SetFault(f)
		time.Sleep(faultDuration(amount, extraOutage))
		d.store.SetFault(platformtest.NoFault)
		d.history.recordDisturbance(time.Now())
	}
}

func changeSettings(d *deployment, _ float64) {
	d.mu.Lock()
	d.extraRoute = !d.extraRoute
	d.mu.Unlock()
	d.configure()
}

func changeSettingsOften(d *deployment, amount float64) {
	for range minSettingsChanges + int(extraSettingsChanges*amount) {
		changeSettings(d, amount)
		time.Sleep(settingsChangePause)
	}
}

// growSettings changes the number of routes. The exponent is uniform, so that small numbers are as
// likely as large ones.
func growSettings(d *deployment, amount float64) {
	d.mu.Lock()
	d.moreRoutes = int(math.Pow(maxExtraRoutes, amount))
	d.mu.Unlock()
	d.configure()
}

// slowDown makes an endpoint slower for a time.
func slowDown(d *deployment, amount float64) {
	e := d.pickEndpoint(1)
	if e == nil {
		return
	}
	e.runner.SetSlowdown(slowSpellFactor * e.slowdown)
	time.Sleep(faultDuration(amount, extraSlowSpell))
	e.runner.SetSlowdown(e.slowdown)
}

// drainEndpoint marks an endpoint as draining in the store and ends it later.
func drainEndpoint(d *deployment, _ float64) {
	e := d.pickEndpoint(2)
	if e == nil {
		return
	}
	d.mu.Lock()
	d.store.PutEndpoint(e.runner, "draining")
	e.leavingSince = time.Now()
	d.mu.Unlock()
	d.addEndpoint()
	time.Sleep(3 * drainGraceMS * time.Millisecond)
	d.mu.Lock()
	e.removed = true
	d.mu.Unlock()
	d.store.RemoveEndpoint(e.runner)
	e.runner.Close()
}

// crashEndpoint ends an endpoint and removes its record later.
func crashEndpoint(d *deployment, amount float64) {
	e := d.pickEndpoint(2)
	if e == nil {
		return
	}
	d.mu.Lock()
	e.removed = true
	d.mu.Unlock()
	e.runner.Close()
	time.Sleep(time.Duration(amount * float64(maxListedAfterCrash)))
	d.store.RemoveEndpoint(e.runner)
	d.addEndpoint()
}

// crashInStream ends an endpoint within the next stream that may not be repeated.
func crashInStream(d *deployment, amount float64) {
	e := d.pickEndpoint(2)
	if e == nil {
		return
	}
	d.mu.Lock()
	e.removed = true
	d.mu.Unlock()
	e.runner.SetDefault(platformtest.ByPath{
		Prefix: []string{"/plan/"},
		Then:   platformtest.Events{To: eventsPerStream / 2, Crash: true},
		Else:   d.options.usualBehavior(),
	})
	select {
	case <-e.runner.Ended():
	case <-time.After(faultDuration(amount, maxListedAfterCrash)):
	}
	e.runner.Close()
	d.store.RemoveEndpoint(e.runner)
	d.addEndpoint()
}

// faultyBehaviors are the ways in which an endpoint may fail to respond to a request.
var faultyBehaviors = []platformtest.Behavior{
	platformtest.Refuse{Status: http.StatusServiceUnavailable},
	platformtest.Refuse{Status: http.StatusTooManyRequests},
	platformtest.Fail{Status: http.StatusInternalServerError},
	platformtest.Fail{Status: http.StatusServiceUnavailable},
	platformtest.ResetConnection{},
	platformtest.Truncate{},
	platformtest.Unframed{Body: "cut", Broken: true},
	platformtest.Garbage{},
	platformtest.Unsealed{},
	platformtest.Hang{},
	platformtest.Early{Status: http.StatusInternalServerError},
	platformtest.Events{To: 4, Broken: true},
	platformtest.Unframed{Body: responseBody},
	inStreams(platformtest.Events{To: eventsPerStream, Unframed: true}),
	inStreams(platformtest.Events{To: 4, Unframed: true, Cut: "id: 5\nda"}),
	inStreams(platformtest.Events{To: 4, Unframed: true, Broken: true}),
	inStreams(platformtest.Events{Unframed: true}),
}

// inStreams returns a behavior for streams. Other requests get a response that is broken off.
func inStreams(then platformtest.Behavior) platformtest.Behavior {
	return platformtest.ByPath{Prefix: []string{"/chat/", "/plan/"}, Then: then, Else: platformtest.Unframed{Body: "cut", Broken: true}}
}

// injectFaultyBehaviors makes the next requests of an endpoint fail.
func injectFaultyBehaviors(d *deployment, amount float64) {
	e := d.pickEndpoint(1)
	if e == nil {
		return
	}
	for range 1 + int(extraFaultyResponses*amount) {
		d.mu.Lock()
		a := faultyBehaviors[d.random.IntN(len(faultyBehaviors))]
		d.mu.Unlock()
		e.runner.Enqueue(a)
	}
}
