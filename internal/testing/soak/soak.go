// Package soak runs real entries as processes of their own against stand-ins of
// the platform, lets faults strike them at random, and checks from what callers
// and endpoints saw that the promises were kept.
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

// Options say what is run.
type Options struct {
	Seed      uint64
	Duration  time.Duration // in which faults strike
	Entries   int
	Endpoints int
	Callers   int
	Only      []string // names of the faults that may strike, empty for all
	Crashing  bool     // a caller comes back with a request that crashes each endpoint that runs it
	Slow      int      // callers that do not read their answers, or whose bodies do not end
	// Command returns a command that runs an entry by the settings file. Its
	// process is ended by Run.
	Command func(settings string) *exec.Cmd
	// Folder is where settings and logs of the entries are written.
	Folder string
}

// Report is what a run found.
type Report struct {
	Requests int
	Answers  map[int]int // by status, 0 for none
	Faults   map[string]int
	Fetches  int // runs whose endpoint was told to fetch memory
	Reports  int // of usage
	Crashed  int // endpoints that crashed under a request
	Refusals int // of endpoints that asked for a backoff
	MemoryMB int // of the entry that had the most
	// BodyBytes is the most that one entry held of bodies.
	BodyBytes int64
	Breaches  []Breach
}

// deployment is the system under test and its surroundings.
type deployment struct {
	options Options
	store   *platformtest.Store
	reports *platformtest.Reports
	entries []*entry
	history history

	evacuating sync.Mutex // one evacuation at a time

	mu        sync.Mutex
	random    *rand.Rand
	endpoints []*endpoint // that were ever started
	version   int
	extra     bool // the route that comes and goes is there
	routes    int  // beside those that callers use
	faults    map[string]int
	crashed   int   // endpoints that crashed under a request
	memoryMB  int   // of the entry that had the most
	bodyBytes int64 // that one entry held, at the most
	closed    bool  // the run is over
}

// calmFor bounds the time in which everything must work again after the faults.
const calmFor = 40 * time.Second

// Run starts the deployment, lets faults strike, ends them, and checks what was
// seen. An error means that the run itself failed.
func Run(ctx context.Context, o Options) (Report, error) {
	if len(o.faults()) == 0 {
		return Report{}, fmt.Errorf("soak: there are no faults named %q", o.Only)
	}
	d := &deployment{
		options: o,
		store:   platformtest.NewStore(),
		reports: platformtest.NewReports(o.Seed%2 == 0),
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		faults:  map[string]int{},
	}
	defer d.close()
	for range o.Endpoints {
		d.addEndpoint()
	}
	d.configure()
	if err := d.startEntries(); err != nil {
		return Report{}, err
	}
	if err := d.await(ctx); err != nil {
		return Report{}, fmt.Errorf("soak: before the faults: %w", err)
	}
	calling, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { d.call(calling, uint64(n)) })
	}
	callers.Go(func() { d.watchVersions(calling) })
	callers.Go(func() { d.watchMemory(calling) })
	for n := range o.Slow {
		callers.Go(func() { d.callSlowly(calling, n) })
	}
	if o.Crashing {
		callers.Go(func() { d.callCrashing(calling) })
	}
	d.strike(ctx)
	d.calm()
	err := d.await(ctx)
	if err == nil {
		err = d.awaitReport(ctx)
	}
	stop()
	callers.Wait()
	if err != nil {
		d.history.breach(Recovers, "", err.Error())
	}
	d.checkCrashing()
	return d.report(), nil
}

func (d *deployment) close() {
	for _, e := range d.entries {
		e.end()
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

// await waits until each entry answers a request of each kind and has the newest
// settings.
func (d *deployment) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, calmFor)
	defer cancel()
	for _, e := range d.entries {
		if err := d.awaitEntry(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) awaitEntry(ctx context.Context, e *entry) error {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		lacking := d.lacking(ctx, e)
		if lacking == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("soak: %s: %s", e.name, lacking)
		case <-ticker.C:
		}
	}
}

// lacking says what does not work yet at an entry, empty for nothing.
func (d *deployment) lacking(ctx context.Context, e *entry) string {
	d.mu.Lock()
	want := d.version
	d.mu.Unlock()
	if version, ok := e.settingsVersion(ctx); !ok || version != want {
		return fmt.Sprintf("settings %d in force, not %d%s", version, want, e.fate())
	}
	for _, k := range kinds {
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
	for _, l := range d.history.limits {
		d.history.checkLimit(l, l.runner.Runs())
	}
	d.checkSignals()
	r := d.history.check(d.options.planned(), d.reports.Taken())
	r.Faults = d.faults
	r.Crashed = d.crashed
	r.MemoryMB = d.memoryMB
	r.BodyBytes = d.bodyBytes
	return r
}

// logFile returns the file that takes an entry's log.
func logFile(folder, name string) (*os.File, error) {
	f, err := os.Create(folder + "/" + name + ".log")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	return f, nil
}
