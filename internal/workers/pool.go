// Package workers runs jobs on a bounded pool of goroutines.
package workers

import (
	"errors"
	"sync"
)

// DefaultMaxWorkers is the maximum number of workers of a zero Pool.
const DefaultMaxWorkers = 4096

// ErrFull means that every worker is busy or the pool is closed.
var ErrFull = errors.New("workers: no worker is free")

// Pool starts workers on demand and reuses idle ones. The zero value is ready to
// use. It is safe for concurrent use.
type Pool struct {
	MaxWorkers int // maximum number of workers; DefaultMaxWorkers if not positive

	mu     sync.Mutex
	idle   []chan func()
	count  int
	closed bool
}

// Do runs a job on a worker. It never blocks; it returns ErrFull if no worker is available.
func (p *Pool) Do(job func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 {
		jobs := p.idle[last]
		p.idle = p.idle[:last]
		jobs <- job
		return nil
	}
	if p.closed || p.count >= p.maxWorkers() {
		return ErrFull
	}
	p.count++
	jobs := make(chan func(), 1)
	jobs <- job
	go p.work(jobs)
	return nil
}

func (p *Pool) maxWorkers() int {
	if p.MaxWorkers > 0 {
		return p.MaxWorkers
	}
	return DefaultMaxWorkers
}

// work runs jobs until the worker can't become idle.
func (p *Pool) work(jobs chan func()) {
	for job := range jobs {
		job()
		if !p.markIdle(jobs) {
			return
		}
	}
}

// maxIdleWorkers bounds the idle workers; any other exits after its job.
const maxIdleWorkers = 64

func (p *Pool) markIdle(jobs chan func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleWorkers {
		p.count--
		return false
	}
	p.idle = append(p.idle, jobs)
	return true
}

// Close stops the idle workers, and each busy one after its job. Do then returns
// ErrFull.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, jobs := range p.idle {
		close(jobs)
	}
	p.idle = nil
}
