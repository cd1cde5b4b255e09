// Package workers runs jobs on a bounded pool of goroutines.
package workers

import (
	"errors"
	"sync"
)

// DefaultMost is how many workers a zero Pool may start.
const DefaultMost = 4096

// ErrFull means that every worker is busy or the pool is closed.
var ErrFull = errors.New("workers: no worker is free")

// Pool starts workers as they are needed and keeps them for later jobs. The
// zero value is ready.
type Pool struct {
	Most int

	mu     sync.Mutex
	idle   []chan func()
	all    int
	closed bool
}

// Do hands a job to a worker. It never blocks.
func (p *Pool) Do(job func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 {
		w := p.idle[last]
		p.idle = p.idle[:last]
		w <- job
		return nil
	}
	if p.closed || p.all >= p.most() {
		return ErrFull
	}
	p.all++
	w := make(chan func(), 1)
	w <- job
	go p.work(w)
	return nil
}

func (p *Pool) most() int {
	if p.Most > 0 {
		return p.Most
	}
	return DefaultMost
}

// work runs jobs until the pool has no place for an idle worker.
func (p *Pool) work(w chan func()) {
	for job := range w {
		job()
		if !p.park(w) {
			return
		}
	}
}

// maxIdle is how many workers wait for jobs; the others end.
const maxIdle = 64

func (p *Pool) park(w chan func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		p.all--
		return false
	}
	p.idle = append(p.idle, w)
	return true
}

// Close ends the idle workers, and the busy ones after their job. Do refuses
// jobs from then on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, w := range p.idle {
		close(w)
	}
	p.idle = nil
}
