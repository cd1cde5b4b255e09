// Command reviewcase holds the cases of the review: it starts the project's entries as processes of
// their own, with stand-ins for the platform's store, runners and clients at loopback addresses.
package main

import (
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)

// host is the host of all routes.
const host = "ficu95.example"

// record is what a case writes down.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment.
type world struct {
	*record
	trouble bool
	root    string
	folder  string
	net     string // first three numbers of its loopback addresses
	store   *store
	entries []*entry
	runners []*runner
}

// newWorld returns an empty deployment at loopback addresses that nobody else uses.
func newWorld(r *record, root string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	var b [2]byte
	_, _ = rand.Read(b[:])
	w := &world{
		record: r, trouble: os.Getenv("TROUBLE") != "0", root: root, folder: folder, store: newStore(),
		net: fmt.Sprintf("127.%d.%d.", 16+int(b[0])%200, 1+int(b[1])%250),
	}
	if _, err := os.Stat(filepath.Join(root, "target", "foxcross-entry")); err != nil {
		return w, err
	}
	return w, nil
}

// addEntry adds an entry in a zone and starts it. The first three are seeds.
func (w *world) addEntry(zone string, number int) (*entry, error) {
	n := len(w.entries)
	e := &entry{
		name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, ip: w.net + strconv.Itoa(10+n), store: w.net + strconv.Itoa(100+n) + ":8223",
		root: w.root, folder: w.folder, bootstrap: true, log: w.record,
	}
	for s := range 3 {
		e.seeds = append(e.seeds, w.net+strconv.Itoa(10+s)+":"+strconv.Itoa(controlPort))
	}
	if _, err := w.store.listen(e.store); err != nil {
		return nil, err
	}
	w.entries = append(w.entries, e)
	return e, e.start()
}

// addRunner adds a runner and enters it in the store.
func (w *world) addRunner(id, service, zone string, work time.Duration) (*runner, error) {
	r, err := startRunner(w.record, net.JoinHostPort(w.net+strconv.Itoa(150+len(w.runners)), "8066"), id, service, zone, work)
	if err != nil {
		return nil, err
	}
	w.runners = append(w.runners, r)
	r.enter(w.store, "ready")
	return r, nil
}

// awaitReady waits until all entries are ready, and then for a while so that they have settled.
func (w *world) awaitReady(settle time.Duration) error {
	for _, e := range w.entries {
		if err := e.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(settle)
	return nil
}

// end ends all processes and stand-ins.
func (w *world) end() {
	for _, e := range w.entries {
		if e.command != nil {
			e.kill(syscall.SIGKILL)
		}
	}
	for _, r := range w.runners {
		r.close()
	}
	_ = os.RemoveAll(w.folder)
}

// window is the time in which a disruption lasts.
type window struct {
	lasts time.Duration
	mu    sync.Mutex
	from  time.Time
}

// window returns a disruption that has not begun.
func (w *world) window(lasts time.Duration) *window { return &window{lasts: lasts} }

// begin lets the disruption begin after a time.
func (t *window) begin(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.from = time.Now().Add(after)
}

// open reports whether the disruption lasts.
func (t *window) open() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := time.Since(t.from)
	return !t.from.IsZero() && since >= 0 && since < t.lasts
}

// route returns a route of a configuration.
func route(name, prefix, kind, service string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeoutMS, "latencyGoalMs": 300,
		"priority": 2, "backend": service, "maxAttempts": attempts, "public": false, "sessionAffinity": false, "streamResume": false,
	}
}

// tenant returns a tenant of a configuration.
func tenant(name string, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{"name": name, "apiKeys": keys}
}

// configuration returns the operator's whole configuration.
func configuration(version int, routes, tenants []map[string]any, services ...string) map[string]any {
	var backends []map[string]any
	for _, s := range services {
		backends = append(backends, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "backends": backends, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

var cases = map[string]func(w *world) (bool, error){
	"surplus": surplus,
	"keys":    keys,
	"readers": readers,
	"flood":   flood,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase CASE ROOT RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play plays a case and returns its exit code.
func play(c func(w *world) (bool, error), root, file string) int {
	f, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = f.Close() }()
	r := &record{file: f, began: time.Now()}
	w, err := newWorld(r, root)
	if err == nil {
		defer w.end()
		var isBroken bool
		isBroken, err = c(w)
		if err == nil && isBroken {
			r.printf("RESULT broken")
			fmt.Println("broken")
			return broken
		}
	}
	if err != nil {
		r.printf("RESULT not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	}
	r.printf("RESULT held")
	fmt.Println("held")
	return held
}
