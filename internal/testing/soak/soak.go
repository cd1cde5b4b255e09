// Package soak runs real entries as separate processes against stand-ins of the
// platform, injects random faults, and checks from the observations of callers and
// endpoints that the promises were kept.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// Options configures a run.
type Options struct {
	Seed        uint64
	Duration    time.Duration // in which faults are injected
	Entries     int
	Endpoints   int
	Callers     int
	Only        []string      // names of the faults to inject, empty for all
	DeadlyParts int           // parts of prompts that crash each endpoint that begins to write on them
	Crashing    bool          // a caller repeats a request that crashes each endpoint that runs it
	EventPause  time.Duration // before each event of a stream, 0 for the shortest
	SlowCallers int           // callers that do not read their responses or do not finish their bodies
	MemoryMB    int           // memory limit in the settings of each entry, 0 for entryMemoryLimitMB
	Descriptors int           // limit on descriptors in the settings of each entry, 0 for unknown
	// Command returns a command that runs an entry with the settings file. Run ends its
	// process.
	Command func(settings string) *exec.Cmd
	// Dir receives the settings and logs of the entries.
	Dir string
}

// Report is the result of a run.
type Report struct {
	Requests int
	Answers  map[int]int // by status, 0 for none
	Faults   map[string]int
	Fetches  int // runs whose endpoint was asked to fetch memory
	Reports  int // of usage
	Crashed  int // endpoints that crashed under a request
	Refusals int // by endpoints, with a Retry-After
	Returned int // requests of callers that had been refused
	// Continued is the number of runs that a copy continued.
	Continued int
	Resumed   int // streams that callers resumed, and that went on
	Refused   int // streams that callers wanted to resume, and that did not go on
	MemoryMB  int // of the entry that had the most
	// BodyBytes is the most bytes of request bodies that one entry held.
	BodyBytes  int64
	Violations []Violation
}

// deployment is the system under test and its stand-ins.
type deployment struct {
	options Options
	store   *platformtest.Store
	reports *platformtest.Reports
	entries []*entry
	history history

	evacuationMu sync.Mutex // held during an evacuation
	releaseMu    sync.Mutex // held during a release of engines
	outOfStepMu  sync.Mutex // held while an entry is out of step during a release

	mu          sync.Mutex
	random      *rand.Rand
	endpoints   []*endpoint // all that were ever started
	version     int
	extraRoute  bool // the extra route is configured
	moreRoutes  int  // in addition to those that callers use
	faultCounts map[string]int
	software    string // version of the software of endpoints that start
	crashed     int    // endpoints that crashed under a request
	memoryMB    int    // of the entry that had the most
	bodyBytes   int64  // most that one entry held
	closed      bool   // the run is over
}

// recoveryTimeout is the time after the faults in which the deployment has to recover.
const recoveryTimeout = 40 * time.Second

// Run starts the deployment, injects faults, clears them, and checks the observations.
// An error means that the run itself failed.
func Run(ctx context.Context, o Options) (Report, error) {
	if len(o.chosenFaults()) == 0 {
		return Report{}, fmt.Errorf("soak: there are no faults named %q", o.Only)
	}
	d := &deployment{
		options:     o,
		store:       platformtest.NewStore(),
		reports:     platformtest.NewReports(o.Seed%2 == 0),
		random:      rand.New(rand.NewPCG(o.Seed, 1)),
		software:    softwareVersions[0],
		faultCounts: map[string]int{},
	}
	defer d.close()
	for range o.Endpoints {
		d.addEndpoint()
	}
	d.configure()
	if err := d.startEntries(); err != nil {
		return Report{}, err
	}
	if err := d.awaitRecovery(ctx); err != nil {
		return Report{}, fmt.Errorf("soak: deployment not ready before the faults: %w", err)
	}
	calling, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { d.runCaller(calling, uint64(n)) })
	}
	callers.Go(func() { d.recordStandstills(calling) })
	callers.Go(func() { d.recordVersions(calling) })
	callers.Go(func() { d.recordMemory(calling) })
	for n := range o.SlowCallers {
		callers.Go(func() { d.runSlowCaller(calling, n) })
	}
	for _, part := range o.deadlyParts() {
		callers.Go(func() { d.runDeadlyCaller(calling, part) })
	}
	if o.Crashing {
		callers.Go(func() { d.runCrashingCaller(calling) })
	}
	d.injectFaults(ctx)
	d.clearFaults()
	err := d.awaitRecovery(ctx)
	if err == nil {
		err = d.awaitReport(ctx)
	}
	stop()
	callers.Wait()
	if err != nil {
		d.history.recordViolation(Recovers, "", err.Error())
	}
	d.checkCrashing()
	return d.report(), nil
}

func (d *deployment) close() {
	for _, e := range d.entries {
		e.shutDown()
	}
	d.store.Close()
	d.reports.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, e := range d.endpoints {
		e.runner.Close()
	}
}

func (d *deployment) startEntries() error {
	for n := range d.options.Entries {
		e, err := newEntry(d.options, n, d.store.Address(), d.reports.Address())
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	for _, e := range d.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitRecovery waits until each entry answers a request of each kind and uses the newest settings.
func (d *deployment) awaitRecovery(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, e := range d.entries {
		if err := d.awaitEntry(ctx, e); err != nil {
			e.logStacks()
			return err
		}
	}
	return nil
}

func (d *deployment) awaitEntry(ctx context.Context, e *entry) error {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	missing := "not probed"
	for {
		unmet := d.unmetCondition(ctx, e)
		if unmet == "" {
			return nil
		}
		if ctx.Err() == nil { // a probe that ends with ctx shows nothing
			missing = unmet
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("soak: %s: %s", e.name, missing)
		case <-ticker.C:
		}
	}
}

// unmetCondition describes what does not work yet at an entry. It is empty if all works.
func (d *deployment) unmetCondition(ctx context.Context, e *entry) string {
	d.mu.Lock()
	want := d.version
	d.mu.Unlock()
	if version, ok := e.settingsVersion(ctx); !ok || version != want {
		return fmt.Sprintf("settings %d in force, not %d%s", version, want, e.exitDescription())
	}
	for _, k := range requestKinds {
		if s := d.request(ctx, e, k); s.status != 200 {
			return fmt.Sprintf("a request to %s got status %d", k.path, s.status)
		}
	}
	return ""
}

func (d *deployment) report() Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		d.history.addRuns(e)
		d.history.checkWarmup(e, e.runner.Runs())
	}
	for _, l := range d.history.namedLimits {
		d.history.checkLimit(l, l.runner.Runs())
	}
	d.checkResponseSignals()
	r := d.history.check(d.options.plannedOnly(), d.reports.Received())
	r.Faults = d.faultCounts
	r.Crashed = d.crashed
	r.MemoryMB = d.memoryMB
	r.BodyBytes = d.bodyBytes
	return r
}

// logFile creates the file for an entry's log.
func logFile(folder, name string) (*os.File, error) {
	f, err := os.Create(folder + "/" + name + ".log")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	return f, nil
}
