package soak

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

const (
	// crowdSize is the number of connections of a crowd, and silentCrowdSize of one that sends nothing.
	crowdSize       = 300
	silentCrowdSize = 700
	// crowdMemoryMB and crowdDescriptors are the limits in the settings of the entry.
	crowdMemoryMB    = 96
	crowdDescriptors = 500
	// crowdHeaderBytes is the size of a head that the settings allow.
	crowdHeaderBytes = 16384
	// crowdWriteLimit bounds what one connection sends of a head without end, in bytes.
	crowdWriteLimit = 4 << 20
	// crowdTimeout bounds the time in which a connection sends.
	crowdTimeout = 4 * time.Second
	// crowdTrailerBytes is what the server reads of a trailer.
	crowdTrailerBytes = 4000
)

// crowdEntry is an entry in a process of its own, without the race detector, whose memory is that of
// production.
type crowdEntry struct {
	*testing.T
	entry *entry
}

// newCrowdEntry starts an entry with a sound endpoint, and one that holds its requests.
func newCrowdEntry(t *testing.T) *crowdEntry {
	t.Helper()
	store, reports := platformtest.NewStore(), platformtest.NewReports(false)
	t.Cleanup(store.Close)
	t.Cleanup(reports.Close)
	sound := platformtest.NewRunner("i-sound", service, platformtest.Answer{Status: http.StatusOK, Body: "whole"})
	t.Cleanup(sound.Close)
	holding := platformtest.NewRunner("i-holding", floodedService, platformtest.Hang{})
	t.Cleanup(holding.Close)
	store.PutEndpoint(sound, "ready")
	store.PutEndpoint(holding, "ready")
	toHolding := route("/hold/", "non_idempotent", false)
	toHolding["backend"], toHolding["maxAttempts"] = floodedService, 1
	store.Configure(map[string]any{
		"version": 1, "routes": []map[string]any{route("/page/", "idempotent", false), toHolding},
		"backends": []map[string]any{{"name": service, "maxConns": 1000}, {"name": floodedService, "maxConns": 1000}},
		"limits":   map[string]any{"maxHeaderBytes": crowdHeaderBytes, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "team", "apiKeys": []string{teamKey}, "priority": 1}},
	})
	program := buildEntry(t)
	o := Options{Entries: 1, Dir: logFolder(t), MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors, Command: func(settings string) *exec.Cmd {
		c := exec.Command(program, "serve", "--platform", "fleet")
		c.Env = append(os.Environ(), "FOXCROSS_CONFIG="+settings)
		return c
	}}
	e := startLoneEntry(t, o, store, reports)
	c := &crowdEntry{T: t, entry: e}
	c.awaitAnswer()
	return c
}

// buildEntry builds the program of an entry.
func buildEntry(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "foxcross-entry")
	if out, err := exec.Command("go", "build", "-o", program, "foxcross.dev/foxcross/cmd/foxcross-entry").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// head returns the head of a request without its end.
func head(target string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: 1\r\n%s: %s\r\n%s: 10000\r\n",
		target, host, platformtest.RequestIDField, platformtest.KeyField, teamKey, platformtest.DeadlineField)
}

// fill appends numbered lines to a head until it has that many bytes.
func fill(start string, bytes int, line func(n int) string) string {
	var b strings.Builder
	b.WriteString(start)
	for n := 0; b.Len() < bytes; n++ {
		b.WriteString(line(n))
	}
	return b.String()
}

func shortLine(n int) string { return strconv.FormatInt(int64(n), 36) + ": \r\n" }

// legalHead returns a whole head of the allowed size.
func legalHead(line func(n int) string) string {
	const reserve = 64
	return fill(head("/hold/x"), crowdHeaderBytes-reserve, line) + "\r\n"
}

// crowds are what each connection of a crowd sends: a start, and then a piece for as long as it may.
var crowds = []struct {
	name, start, piece string
	size               int // 0 for crowdSize
}{
	{name: "legal heads of short lines", start: legalHead(shortLine)},
	{name: "legal heads of one name", start: legalHead(func(int) string { return "a: \r\n" })},
	{name: "legal heads of folded lines", start: legalHead(func(n int) string { return shortLine(n) + " \r\n" })},
	{name: "legal heads of names in both cases", start: legalHead(func(n int) string { return "aAaA"[n%2:n%2+2] + shortLine(n) })},
	{name: "lines without a colon", start: legalHead(func(int) string { return "x\r\n" })},
	{name: "heads of short lines over the limit", start: fill(head("/page/x"), 1<<20-64, shortLine) + "\r\n"},
	{name: "heads of short lines without end", start: head("/page/x"), piece: fill("", 64<<10, shortLine)},
	{name: "a line without end", start: head("/page/x") + "X-More: ", piece: strings.Repeat("x", 64<<10)},
	{name: "a request line without end", start: "POST /page/", piece: strings.Repeat("x", 64<<10)},
	{name: "empty lines without end", piece: strings.Repeat("\r\n", 32<<10)},
	{name: "a legal head that does not end", start: fill(head("/page/x"), crowdHeaderBytes-64, shortLine)},
	{name: "trailers of short lines", start: fill(head("/hold/x")+"Transfer-Encoding: chunked\r\n\r\n0\r\n", crowdTrailerBytes, shortLine) + "\r\n"},
	{name: "a chunk extension without end", start: head("/page/x") + "Transfer-Encoding: chunked\r\n\r\n1;", piece: strings.Repeat("x", 64<<10)},
	{name: "connections that send nothing", size: silentCrowdSize},
	{name: "connections that send one byte", start: "P", size: silentCrowdSize},
	{name: "pipelined heads of short lines", start: head("/page/x") + "Content-Length: 0\r\n\r\n" + fill(head("/hold/x"), 4000, shortLine) + "\r\n"},
}

// send connects, sends and returns the open connection, nil if there is none.
func (c *crowdEntry) send(start, piece string) net.Conn {
	conn, err := net.DialTimeout("tcp", c.entry.callerAddress(), crowdTimeout)
	if err != nil {
		return nil
	}
	if err := conn.SetDeadline(time.Now().Add(crowdTimeout)); err != nil {
		return conn
	}
	if _, err := conn.Write([]byte(start)); err != nil {
		return conn
	}
	for sent := 0; piece != "" && sent < crowdWriteLimit; sent += len(piece) {
		if _, err := conn.Write([]byte(piece)); err != nil {
			break
		}
	}
	return conn
}

// settledSamples is the number of samples in a row after which the number of descriptors has settled.
const settledSamples = 15

// run lets a crowd send at once and keeps its connections open until all have sent and the descriptors of
// the entry have settled. It returns the most that it had.
func (c *crowdEntry) run(size int, start, piece string) (descriptors int) {
	conns := make([]net.Conn, size)
	var all sync.WaitGroup
	for n := range conns {
		all.Go(func() { conns[n] = c.send(start, piece) })
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		all.Wait()
	}()
	for last, same := -1, 0; same < settledSamples; {
		time.Sleep(20 * time.Millisecond)
		now := c.descriptors()
		descriptors = max(descriptors, now)
		select {
		case <-sent:
			same++
		default:
		}
		if now != last {
			last, same = now, 0
		}
	}
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close() // the entry may have closed it
		}
	}
	return descriptors
}

// descriptors returns the number of open descriptors of the entry, 0 if it does not run.
func (c *crowdEntry) descriptors() int {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.entry.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(names)
}

// peakMemoryMB returns the most memory that the entry has had, 0 if it does not run.
func (c *crowdEntry) peakMemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.entry.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				c.Fatal(err)
			}
			return kb / 1024
		}
	}
	return 0
}

// awaitAnswer waits until an ordinary request is answered.
func (c *crowdEntry) awaitAnswer() {
	c.Helper()
	f := &floodTest{T: c.T, entry: c.entry, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	ctx, cancel := context.WithTimeout(c.Context(), readinessTimeout)
	defer cancel()
	for f.status("/page/ready") != http.StatusOK {
		select {
		case <-ctx.Done():
			c.Fatal("no ordinary request is answered")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestCrowdOfCallersDoesNotEndEntry guards against callers whose heads fill the memory of an entry.
func TestCrowdOfCallersDoesNotEndEntry(t *testing.T) {
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			c := newCrowdEntry(t)
			descriptors := c.run(cmp.Or(crowd.size, crowdSize), crowd.start, crowd.piece)
			memory := c.peakMemoryMB()
			t.Logf("the entry takes %d MB and %d descriptors", memory, descriptors)
			if ended := c.entry.exitDescription(); ended != "" {
				t.Fatalf("the entry has %s", ended)
			}
			if memory > crowdMemoryMB {
				t.Errorf("the entry takes %d MB, more than %d", memory, crowdMemoryMB)
			}
			if descriptors > crowdDescriptors {
				t.Errorf("the entry has %d descriptors, more than %d", descriptors, crowdDescriptors)
			}
			c.awaitAnswer()
		})
	}
}

// TestHeadOfManyShortLinesIsServedInCalm guards against limits that a single request of legal size meets.
func TestHeadOfManyShortLinesIsServedInCalm(t *testing.T) {
	c := newCrowdEntry(t)
	shortest := func(int) string { return "a:\r\n" }
	for _, line := range []func(n int) string{shortLine, shortest} {
		request := strings.Replace(legalHead(line), "/hold/", "/page/", 1)
		conn := c.send(request, "")
		if conn == nil {
			t.Fatal("no connection")
		}
		answer := make([]byte, 12)
		if _, err := conn.Read(answer); err != nil || string(answer) != "HTTP/1.1 200" {
			t.Errorf("%q, %v", answer, err)
		}
		_ = conn.Close() // the answer has come
	}
}
