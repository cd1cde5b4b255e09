package soak

import (
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

// Ports of each entry; it has an address of its own.
const (
	callersPort   = 18227
	readinessPort = 18220
	peersPort     = 17340
	metricsPort   = 9464
	seedPort      = 18229
)

// entryMemoryMB is what each entry is told that it may use.
const entryMemoryMB = 160

// stopGrace is the time from SIGTERM to the end by force, in seconds.
const stopGrace = 3

// entry is one process of the system.
type entry struct {
	name     string
	address  string
	settings string
	options  Options
	log      *os.File
	link     *thinlink.Link // to the store, nil for a wide one

	restarting sync.Mutex // one signal that ends or freezes it at a time

	mu      sync.Mutex
	command *exec.Cmd
	began   time.Time
	frozen  time.Time     // since when it stands still, zero if it runs
	stood   time.Duration // for which it stood still before, since it began
	freezes []interval    // that are over
	life    int           // counts the starts
	ended   chan struct{}
	outcome string // of the last life that has ended
}

// Rates of links to the store, in 10^6 bits a second.
const (
	thinMbps    = 10
	wideMbps    = 1000
	bitsPerByte = 8
)

// callers returns the address for callers' requests.
func (e *entry) callers() string { return fmt.Sprintf("%s:%d", e.address, callersPort) }

// addressOf returns an own loopback address of the entry of this process.
func addressOf(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 2+pid>>8&127, pid&255, n+2)
}

// newEntry prepares the entry of a number. Every other one reaches the store over a thin
// link, and is told so.
func newEntry(o Options, n int, store, reports string) (*entry, error) {
	e := &entry{name: fmt.Sprint("entry-", n+1), address: addressOf(n), options: o}
	linkMbps := wideMbps
	if n%2 == 1 {
		linkMbps = thinMbps
		link, err := thinlink.New(store, thinMbps*1_000_000/bitsPerByte)
		if err != nil {
			return nil, err
		}
		e.link = link
		store = link.Address()
	}
	seeds := []string{}
	for other := range min(o.Entries, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", addressOf(other), seedPort))
	}
	data, err := json.Marshal(map[string]any{
		"nodeName": e.name, "zone": fmt.Sprint("zone-", n%2+1), "ip": e.address, "seeds": seeds, "zones": regions,
		"portRange": []int{peersPort, peersPort + 15},
		"listen": map[string]any{
			"frontend":  e.callers(),
			"readiness": fmt.Sprintf("%s:%d", e.address, readinessPort),
		},
		"bounds": map[string]any{
			"graceS": stopGrace, "drainMs": leaveMS, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 50, "retryAfterS": 10,
			"reportWindowS": usageWindowS, "leaseMs": alternateMS, "thawMs": thawMS,
		},
		"limits":   map[string]any{"linkMbps": linkMbps, "cpuShare": 1, "memoryMb": entryMemoryMB},
		"platform": map[string]any{"address": store, "ttl_min_ms": minLeaseMS},
		"cloud":    map[string]any{"address": reports, "duties": []string{"usage_report"}},
	})
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	e.settings = filepath.Join(o.Folder, e.name+".json")
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	e.log, err = logFile(o.Folder, e.name)
	return e, err
}

// start runs the process.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.options.Command(e.settings)
	c.Stdout, c.Stderr = e.log, e.log
	if err := c.Start(); err != nil {
		return fmt.Errorf("soak: %s: %w", e.name, err)
	}
	e.command = c
	e.began, e.frozen, e.stood = time.Now(), time.Time{}, 0
	e.life++
	life := e.life
	ended := make(chan struct{})
	e.ended = ended
	go func() {
		_ = c.Wait() // a killed process ends with an error
		e.mu.Lock()
		e.outcome = fmt.Sprintf("life %d: %s", life, c.ProcessState)
		e.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
	default:
		_ = e.command.Process.Signal(s) // it may just have ended
	}
}

// fate says how the process ended, if it does not run.
func (e *entry) fate() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
		return ", ended, " + e.outcome
	default:
		return ""
	}
}

// settled tells whether the process has had the time to take signals: one that was frozen when it
// had just started has not, however long ago that was, and ends by the first one when it wakes.
func (e *entry) settled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ran := time.Since(e.began) - e.stood
	if !e.frozen.IsZero() {
		ran -= time.Since(e.frozen)
	}
	return ran > settleTime
}

// freeze lets the process stand still for a time.
func (e *entry) freeze(length time.Duration) {
	e.signal(syscall.SIGSTOP)
	e.mu.Lock()
	e.frozen = time.Now()
	e.mu.Unlock()
	time.Sleep(length)
	e.mu.Lock()
	e.stood += time.Since(e.frozen)
	e.freezes = append(e.freezes, interval{from: e.frozen, to: time.Now()})
	e.frozen = time.Time{}
	e.mu.Unlock()
	e.signal(syscall.SIGCONT)
}

// settleTime is how long a process has to have run until it takes signals.
const settleTime = 300 * time.Millisecond

// awaitEnd waits for the end of the process and ends it by force after a time.
func (e *entry) awaitEnd(patience time.Duration) {
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(patience):
		e.signal(syscall.SIGKILL)
		<-ended
	}
}

// end kills the process for good.
func (e *entry) end() {
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

// life is one life of an entry. The zero value is none.
type life struct {
	entry  string
	number int
}

// lived returns the present life.
func (e *entry) lived() life { return life{e.name, e.number()} }

// froze tells whether the entry stood still at any time of an interval.
func (e *entry) froze(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.freezes {
		if f.from.Before(to) && f.to.After(from) {
			return true
		}
	}
	return !e.frozen.IsZero() && e.frozen.Before(to)
}

// number returns which life of the process it is.
func (e *entry) number() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// probeTimeout bounds a look at an entry's state.
const probeTimeout = 500 * time.Millisecond

// state is what is read of an entry's state.
type state struct {
	Version   int   `json:"settings_version"`
	BodyBytes int64 `json:"body_bytes"`
}

// settingsVersion returns the version in force by the entry's state.
func (e *entry) settingsVersion(ctx context.Context) (int, bool) {
	s, ok := e.state(ctx)
	return s.Version, ok
}

// state reads the entry's state.
func (e *entry) state(ctx context.Context) (state, bool) {
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
	var now state
	if err := json.NewDecoder(a.Body).Decode(&now); err != nil {
		return state{}, false
	}
	return now, true
}
