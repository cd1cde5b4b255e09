package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"foxcross.dev/foxcross/internal/testing/thinlink"
)

// Ports of each entry. Entries differ in their loopback addresses.
const (
	callersPort   = 18227
	readinessPort = 18220
	peersPort     = 17340
	metricsPort   = 9464
	seedPort      = 18229
)

// entryMemoryLimitMB is the memory limit in the settings of each entry.
const entryMemoryLimitMB = 160

// stopGraceSeconds is the time from SIGTERM to a forced end.
const stopGraceSeconds = 3

// entry is an entry that runs as a process of its own.
type entry struct {
	name         string
	address      string
	settingsPath string
	options      Options
	log          *os.File
	link         *thinlink.Link // to the store, nil if its rate is not limited

	signalMu sync.Mutex // held while a restart or a freeze is in progress

	mu          sync.Mutex
	command     *exec.Cmd
	startedAt   time.Time
	frozenSince time.Time     // start of the present freeze, zero if it runs
	frozenTotal time.Duration // of the past freezes since it was started
	freezes     []interval    // past freezes
	starts      int           // number of starts
	ended       chan struct{}
	exitStatus  string // of the last process that has ended
}

// Rates of the links to the store, in 10^6 bits a second.
const (
	slowLinkMbps = 10
	fastLinkMbps = 1000
	bitsPerByte  = 8
)

// callerAddress returns the address that serves callers.
func (e *entry) callerAddress() string { return fmt.Sprintf("%s:%d", e.address, callersPort) }

// loopbackAddress returns the loopback address of entry n. It depends on the id of this process.
func loopbackAddress(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 2+pid>>8&127, pid&255, n+2)
}

// newEntry prepares entry n. Every other entry reaches the store over a slow link, whose rate is
// set in its settings.
func newEntry(o Options, n int, store, reports string) (*entry, error) {
	e := &entry{name: fmt.Sprint("entry-", n+1), address: loopbackAddress(n), options: o}
	linkMbps := fastLinkMbps
	if n%2 == 1 {
		linkMbps = slowLinkMbps
		link, err := thinlink.New(store, slowLinkMbps*1_000_000/bitsPerByte)
		if err != nil {
			return nil, err
		}
		e.link = link
		store = link.Address()
	}
	seeds := []string{}
	for other := range min(o.Entries, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", loopbackAddress(other), seedPort))
	}
	data, err := json.Marshal(map[string]any{
		"nodeName": e.name, "zone": fmt.Sprint("zone-", n%2+1), "ip": e.address, "seeds": seeds, "zones": regions,
		"portRange": []int{peersPort, peersPort + 15},
		"listen": map[string]any{
			"frontend":  e.callerAddress(),
			"readiness": fmt.Sprintf("%s:%d", e.address, readinessPort),
		},
		"bounds": map[string]any{
			"graceS": stopGraceSeconds, "drainMs": drainGraceMS, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 50, "retryAfterS": 10,
			"reportWindowS": usageWindowS, "leaseMs": dutyLeaseMS, "thawMs": thawMS,
		},
		"limits":   map[string]any{"linkMbps": linkMbps, "cpuShare": 1, "memoryMb": cmp.Or(o.MemoryMB, entryMemoryLimitMB), "maxFds": o.Descriptors},
		"platform": map[string]any{"address": store, "ttl_min_ms": minLeaseMS},
		"cloud":    map[string]any{"address": reports, "duties": []string{"usage_report"}},
	})
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	e.settingsPath = filepath.Join(o.Dir, e.name+".json")
	if err := os.WriteFile(e.settingsPath, data, 0o600); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	e.log, err = logFile(o.Dir, e.name)
	return e, err
}

// start starts the process.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.options.Command(e.settingsPath)
	c.Stdout, c.Stderr = e.log, e.log
	if err := c.Start(); err != nil {
		return fmt.Errorf("soak: %s: %w", e.name, err)
	}
	e.command = c
	e.startedAt, e.frozenSince, e.frozenTotal = time.Now(), time.Time{}, 0
	e.starts++
	starts := e.starts
	ended := make(chan struct{})
	e.ended = ended
	go func() {
		_ = c.Wait() // a killed process ends with an error
		e.mu.Lock()
		e.exitStatus = fmt.Sprintf("start %d: %s", starts, c.ProcessState)
		e.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
	default:
		_ = e.command.Process.Signal(s) // it may just have ended
	}
}

// exitDescription describes how the process ended. It is empty while the process runs.
func (e *entry) exitDescription() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
		return ", ended, " + e.exitStatus
	default:
		return ""
	}
}

// handlesSignals reports whether the process has run long enough to install its signal handlers. A
// process that was frozen just after its start has not, however long ago that was: the first signal
// ends it when it resumes.
func (e *entry) handlesSignals() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ran := time.Since(e.startedAt) - e.frozenTotal
	if !e.frozenSince.IsZero() {
		ran -= time.Since(e.frozenSince)
	}
	return ran > signalSetupTime
}

// freeze suspends the process for a time.
func (e *entry) freeze(length time.Duration) {
	e.signal(syscall.SIGSTOP)
	e.mu.Lock()
	e.frozenSince = time.Now()
	e.mu.Unlock()
	time.Sleep(length)
	e.mu.Lock()
	e.frozenTotal += time.Since(e.frozenSince)
	e.freezes = append(e.freezes, interval{from: e.frozenSince, to: time.Now()})
	e.frozenSince = time.Time{}
	e.mu.Unlock()
	e.signal(syscall.SIGCONT)
}

// signalSetupTime is the time after its start in which a process installs its signal handlers.
const signalSetupTime = 300 * time.Millisecond

// awaitEnd waits for the end of the process and kills it after the timeout.
func (e *entry) awaitEnd(timeout time.Duration) {
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(timeout):
		e.signal(syscall.SIGKILL)
		<-ended
	}
}

// logStacks ends the process, which then writes the stacks of its goroutines to its log.
func (e *entry) logStacks() {
	e.signal(syscall.SIGQUIT)
	e.awaitEnd(time.Second)
}

// shutDown kills the process and releases its resources.
func (e *entry) shutDown() {
	e.mu.Lock()
	running := e.command != nil
	e.mu.Unlock()
	if running {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		e.awaitEnd(time.Second)
	}
	if e.link != nil {
		e.link.Close()
	}
	if e.log != nil {
		_ = e.log.Close() // the run is over
	}
}

// servingFor returns the time since the start of the process, 0 if it has ended.
func (e *entry) servingFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
		return 0
	default:
		return time.Since(e.startedAt)
	}
}

// incarnation identifies the process between two starts of an entry. The zero value stands for none.
type incarnation struct {
	entry  string
	starts int
}

// incarnation returns the present incarnation.
func (e *entry) incarnation() incarnation { return incarnation{e.name, e.startCount()} }

// wasFrozen reports whether the process was frozen at any time of an interval.
func (e *entry) wasFrozen(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.freezes {
		if f.from.Before(to) && f.to.After(from) {
			return true
		}
	}
	return !e.frozenSince.IsZero() && e.frozenSince.Before(to)
}

// startCount returns how often the process has been started.
func (e *entry) startCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts
}

// probeTimeout bounds a read of an entry's state.
const probeTimeout = 500 * time.Millisecond

// state holds the fields of an entry's state that are read.
type state struct {
	Version   int   `json:"settings_version"`
	BodyBytes int64 `json:"body_bytes"`
}

// settingsVersion returns the active settings version of the entry. It returns false if the entry
// does not respond.
func (e *entry) settingsVersion(ctx context.Context) (int, bool) {
	s, ok := e.fetchState(ctx)
	return s.Version, ok
}

// fetchState reads the entry's state from its own interface.
func (e *entry) fetchState(ctx context.Context) (state, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/state", e.address, metricsPort), http.NoBody)
	if err != nil {
		return state{}, false
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return state{}, false
	}
	defer func() { _ = a.Body.Close() }()
	var s state
	if err := json.NewDecoder(a.Body).Decode(&s); err != nil {
		return state{}, false
	}
	return s, true
}
