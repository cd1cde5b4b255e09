package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Keys of the clients.
const (
	keyA, keyB, keyNever = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "zzzzzzzzzzzzzzzzzzzz"
)

// surplus: for 5 s, one of two runners sends a surplus answer behind one in 34 of its answers. It arrives
// late, in the place where the next one is due, and carries the id of the request that it belongs to.
func surplus(w *world) (bool, error) {
	const service, share, lasts = "booking", 34, 5 * time.Second
	routes := []map[string]any{route("r-confirm", "/puxa403/", "non_idempotent", service, 4000, 3)}
	w.store.put("op/config", configuration(7, routes, []map[string]any{tenant("hule930", keyA)}, service))
	faulty, err := w.addRunner("i-7f3a91c2", service, zone1, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	sound, err := w.addRunner("i-02d9e6b4", service, zone2, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	trouble := w.window(lasts)
	if w.trouble {
		faulty.fault = func(x *exchange) bool {
			if !trouble.open() || x.previous == "" || x.number%share != 0 {
				return true
			}
			w.printf("%s sends a surplus answer 421 with the id of %s on the connection on which %s is due", faulty.id, x.previous, x.request.Header.Get("X-Attempt-Id"))
			_, err := respond(x.conn, 421, "Misdirected Request", "X-Attempt-Id: "+x.previous+"\r\nX-Instance-Id: "+faulty.id+"\r\n", "")
			return err == nil
		}
	}
	for n, zone := range []string{zone1, zone2} {
		if _, err := w.addEntry(zone, n+1); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(3 * time.Second); err != nil {
		return false, err
	}
	trouble.begin(3 * time.Second)
	var mu sync.Mutex
	var answers []answer
	var all sync.WaitGroup
	end := time.Now().Add(12 * time.Second)
	for n := range 10 {
		all.Go(func() {
			c := client{address: w.entries[n%2].callers()}
			defer c.close()
			for time.Now().Before(end) {
				a := c.call(http.MethodPost, "/puxa403/2f", keyA, 4*time.Second, "book")
				w.printf("client %d sent %s, got %d %v", n, a.id, a.status, a.err)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	all.Wait()
	runs := runsOf(faulty, sound)
	if len(answers) < 100 {
		return false, fmt.Errorf("only %d requests", len(answers))
	}
	twice := 0
	for _, a := range answers {
		if n := len(runs[a.id]); n > 1 {
			twice++
			w.printf("TWICE: %s, which can't be repeated, ran %d times: at %s and %s", a.id, n, runs[a.id][0].runner, runs[a.id][1].runner)
		}
	}
	w.printf("%d requests, %d ran more than once", len(answers), twice)
	return twice > 0, nil
}

// keys: the operator takes away the keys of the first of two tenants, then those of the second.
func keys(w *world) (bool, error) {
	const service = "booking"
	const applied = 2 * time.Second // configApplyMs
	routes := []map[string]any{route("r-confirm", "/puxa403/", "non_idempotent", service, 4000, 3)}
	config := func(version int, a, b []string) map[string]any {
		return configuration(version, routes, []map[string]any{tenant("hule930", a...), tenant("fida11", b...)}, service)
	}
	w.store.put("op/config", config(7, []string{keyA}, []string{keyB}))
	r, err := w.addRunner("i-7f3a91c2", service, zone1, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	for n, zone := range []string{zone1, zone2} {
		if _, err := w.addEntry(zone, n+1); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(4 * time.Second); err != nil {
		return false, err
	}
	clients := []*client{{address: w.entries[0].callers()}, {address: w.entries[1].callers()}}
	ask := func(key, what string) []answer {
		var all []answer
		for n, c := range clients {
			a := c.call(http.MethodPost, "/puxa403/2f", key, 4*time.Second, "book")
			w.printf("client with %s sent %s to %s, got %d %v", what, a.id, w.entries[n].name, a.status, a.err)
			all = append(all, a)
		}
		return all
	}
	for _, a := range append(ask(keyA, "key A"), ask(keyB, "key B")...) {
		if a.status != http.StatusOK {
			return false, fmt.Errorf("a request with a key in force got %d %v", a.status, a.err)
		}
	}
	for _, a := range ask(keyNever, "a key that no configuration held") {
		if a.status != http.StatusUnauthorized {
			return false, fmt.Errorf("a request with an unknown key got %d before the change", a.status)
		}
	}
	acknowledged := w.store.put("op/config", config(9, nil, []string{keyB}))
	w.printf("operator: version 9 takes key A away, the only one of hule930; fida11 has key B")
	if w.trouble {
		time.Sleep(100 * time.Millisecond)
		acknowledged = w.store.put("op/config", config(12, nil, nil))
		w.printf("operator: version 12 takes key B away, the only one of fida11")
	}
	time.Sleep(time.Until(acknowledged.Add(applied + 2*time.Second)))
	ran := 0
	for range 5 {
		all := append(ask(keyA, "key A"), ask(keyNever, "a key that no configuration held")...)
		if w.trouble {
			all = append(all, ask(keyB, "key B")...)
		}
		for _, a := range all {
			if runs := runsOf(r)[a.id]; len(runs) > 0 {
				ran++
				w.printf("CONFIG, ROUTE: %s, sent %v after the acknowledgement of the version without its key, ran for tenant %q", a.id, a.sent.Sub(acknowledged).Round(time.Millisecond), runs[0].tenant)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.printf("%d requests ran with keys that are not in force", ran)
	return ran > 0, nil
}

// readers: of four entries in four zones, the two that read the store lose power at the same moment, and
// the operator moves a route to another service right after. The same is done up to four times.
func readers(w *world) (bool, error) {
	const rounds, settle = 4, 8 * time.Second
	tenants := []map[string]any{tenant("hule930", keyA)}
	services := []string{"booking", "archive"}
	to := func(service string) []map[string]any {
		return []map[string]any{route("r-cancel", "/puxa403/", "idempotent", service, 4000, 3)}
	}
	w.store.put("op/config", configuration(7, to(services[0]), tenants, services...))
	for n, service := range services {
		if _, err := w.addRunner(fmt.Sprintf("i-%08x", 0x7f3a91c2+n), service, zone1, 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{zone1, zone2, zone3, zone4} {
		if _, err := w.addEntry(zone, 1); err != nil {
			return false, err
		}
	}
	for round := range rounds {
		if err := w.awaitReady(settle); err != nil {
			return false, err
		}
		old, next := w.runners[round%2], services[(round+1)%2]
		if w.loseReaders(old, configuration(9+2*round, to(next), tenants, services...)) > 0 {
			return true, nil
		}
	}
	return false, nil
}

// loseReaders plays one round, and returns how many requests that were sent later than configApplyMs after
// the acknowledgement of the configuration ran at the old service's runner.
func (w *world) loseReaders(old *runner, config map[string]any) int {
	const applied, outage = 2 * time.Second, 3 * time.Second
	byWatch := slices.Clone(w.entries)
	slices.SortFunc(byWatch, func(a, b *entry) int { return w.store.lastWatch(b.store).Compare(w.store.lastWatch(a.store)) })
	lost, left := byWatch[:2], byWatch[2:]
	for _, e := range w.entries {
		w.printf("%s last watched the store %v ago", e.name, time.Since(w.store.lastWatch(e.store)).Round(time.Millisecond))
	}
	if w.trouble {
		for _, e := range lost {
			_ = e.command.Process.Signal(syscall.SIGKILL)
			w.printf("platform: %s loses power", e.name)
		}
	}
	acknowledged := w.store.put("op/config", config)
	w.printf("operator: version %d moves the route away from %s", config["version"], old.service)
	var all sync.WaitGroup
	if w.trouble {
		for _, e := range lost {
			all.Go(func() {
				e.kill(syscall.SIGKILL)
				time.Sleep(time.Until(acknowledged.Add(outage)))
				_ = e.start()
			})
		}
	}
	var mu sync.Mutex
	var answers []answer
	for n, e := range left {
		all.Go(func() {
			c := client{address: e.callers()}
			defer c.close()
			for time.Since(acknowledged) < outage {
				a := c.call(http.MethodGet, "/puxa403/2f", keyA, 4*time.Second, "")
				w.printf("client %d sent %s to %s %v after the acknowledgement, got %d %v", n, a.id, e.name, a.sent.Sub(acknowledged).Round(time.Millisecond), a.status, a.err)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	all.Wait()
	runs := runsOf(old)
	late := 0
	for _, a := range answers {
		if len(runs[a.id]) > 0 && a.sent.Sub(acknowledged) > applied {
			late++
			w.printf("CONFIG: %s, sent %v after the acknowledgement, ran at the old service", a.id, a.sent.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	w.printf("%d requests, %d by the old version later than %v", len(answers), late, applied)
	return late
}
