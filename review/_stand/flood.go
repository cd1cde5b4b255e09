package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// flood: for 5.5 s, one of three runners sends bytes that are no answer in place of one in fifty of its
// answers, at 80 MB a second for all of them together, until its caller closes the connection.
func flood(w *world) (bool, error) {
	const service, share, link, lasts = "booking", 50, 80 << 20, 5500 * time.Millisecond
	routes := []map[string]any{
		route("r-confirm", "/puxa403/", "non_idempotent", service, 15000, 1),
		route("r-plan", "/lohu930/", "non_idempotent", "planner", 15000, 1),
	}
	tenants := []map[string]any{tenant("hule930", keyA)}
	w.store.put("op/config", configuration(7, routes, tenants, service, "planner"))
	var runners []*runner
	for n, zone := range []string{zone1, zone2, zone3} {
		r, err := w.addRunner(fmt.Sprintf("i-%08x", 0x7f3a91c2+n), service, zone, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	var sound []*runner
	for n, zone := range []string{zone1, zone2} {
		r, err := w.addRunner(fmt.Sprintf("i-%08x", 0x02d9e6b4+n), "planner", zone, 2*time.Second)
		if err != nil {
			return false, err
		}
		sound = append(sound, r)
	}
	var limit sync.Mutex // all answers of the runner share its link
	trouble := w.window(lasts)
	runners[0].fault = func(x *exchange) bool {
		if !w.trouble || !trouble.open() || x.number%share != 0 {
			return true
		}
		w.printf("%s sends bytes that are no answer to %s", runners[0].id, x.request.Header.Get("X-Attempt-Id"))
		piece := bytes.Repeat([]byte("x"), 1<<20)
		sent := 0
		for trouble.open() {
			limit.Lock()
			time.Sleep(time.Second / (link >> 20))
			n, err := x.conn.Write(piece)
			limit.Unlock()
			sent += n
			if err != nil {
				w.printf("%s: its caller has closed the connection after %d MB", runners[0].id, sent>>20)
				return false
			}
		}
		w.printf("%s breaks off after %d MB", runners[0].id, sent>>20)
		return false
	}
	for n, zone := range []string{zone1, zone2} {
		if _, err := w.addEntry(zone, n+1); err != nil {
			return false, err
		}
	}
	done := make(chan struct{})
	var all sync.WaitGroup
	for _, e := range w.entries {
		all.Go(func() { w.enforceMemory(e, done) })
	}
	if err := w.awaitReady(3 * time.Second); err != nil {
		return false, err
	}
	trouble.begin(6 * time.Second)
	var mu sync.Mutex
	lost := 0
	var clients sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for n := range 20 {
		clients.Go(func() {
			c := client{address: w.entries[n%2].callers()}
			defer c.close()
			path := "/puxa403/2f"
			if n >= 8 {
				path = "/lohu930/2f"
			}
			for time.Now().Before(end) {
				kept := c.conn != nil
				a := c.call(http.MethodPost, path, keyA, 15*time.Second, "book")
				w.printf("client %d sent %s %s, got %d %v", n, a.id, path, a.status, a.err)
				if ran := runsOf(sound...)[a.id]; a.status == 0 && kept && len(ran) > 0 {
					mu.Lock()
					lost++
					mu.Unlock()
					w.printf("LOST: %s was passed on to the sound runner %s, and its kept connection ended without an answer", a.id, ran[0].runner)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	close(done)
	all.Wait()
	w.printf("%d requests lost at sound runners", lost)
	return lost > 3, nil
}

// enforceMemory ends a process that uses more memory than its machine has, as the platform does, and
// starts it again after a short delay.
func (w *world) enforceMemory(e *entry, done chan struct{}) {
	most := int64(0)
	for {
		select {
		case <-done:
			w.printf("%s used at most %d MB", e.name, most>>20)
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := e.memory()
		most = max(most, used)
		if used <= memoryMB<<20 {
			continue
		}
		w.printf("platform: %s uses %d MB of %d and is killed", e.name, used>>20, memoryMB)
		e.kill(syscall.SIGKILL)
		time.Sleep(300 * time.Millisecond)
		if err := e.start(); err != nil {
			w.printf("%s does not start: %v", e.name, err)
			return
		}
	}
}
