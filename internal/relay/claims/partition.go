package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"foxcross.dev/coord/claim"
	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/storeerr"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/fxamacker/cbor/v2"
)

// partition is the claims whose keys hash to it.
type partition struct {
	options *Options
	name    string
	waiting chan *waiter

	mu       sync.Mutex
	releases []claim.Request

	// Only run uses what follows.
	revision uint64
	head     claim.Head
	known    bool // head and revision are what was last read or stored
	segments map[string]map[claim.Key]claim.Nonce
}

// release frees a key with one of the next swaps.
func (p *partition) release(q claim.Request) {
	q.Release = true
	p.mu.Lock()
	if len(p.releases) < maxWaiting {
		p.releases = append(p.releases, q)
	} else {
		log.Limited("release", "Too many keys wait to be released; one stays claimed until it is forgotten.")
	}
	p.mu.Unlock()
	select {
	case p.waiting <- nil: // lets run look at the releases
	default:
	}
}

func (p *partition) run(ctx context.Context) {
	var batch []*waiter
	for {
		if len(batch) == 0 {
			select {
			case w := <-p.waiting:
				batch = addWaiter(batch, w)
			case <-ctx.Done():
				return
			}
		}
		batch = p.gather(batch)
		if err := p.step(ctx, batch); err != nil {
			p.known = false
			log.Debugf("A swap of %s failed: %v.", p.name, err)
			batch = live(batch)
		} else {
			batch = nil
		}
		if !workers.Sleep(ctx, p.options.pace()) {
			return
		}
	}
}

// addWaiter leaves out a waiter whose caller has gone: its release may have been
// stored already.
func addWaiter(batch []*waiter, w *waiter) []*waiter {
	if w == nil || w.ctx.Err() != nil {
		return batch
	}
	return append(batch, w)
}

// gather adds what waits, up to a bound.
func (p *partition) gather(batch []*waiter) []*waiter {
	for len(batch) < maxBatch {
		select {
		case w := <-p.waiting:
			batch = addWaiter(batch, w)
		default:
			return batch
		}
	}
	return batch
}

// live drops waiters whose callers have gone.
func live(batch []*waiter) []*waiter {
	var kept []*waiter
	for _, w := range batch {
		if w.ctx.Err() == nil {
			kept = append(kept, w)
		}
	}
	return kept
}

// step reads the head if needed, moves it on if due, and swaps the batch in.
// After an error nothing is known; the same batch may be tried again, since a
// claim that is stored already is found by its nonce.
func (p *partition) step(ctx context.Context, batch []*waiter) error {
	if err := p.read(ctx); err != nil {
		return err
	}
	now := p.options.Now()
	if p.head.Due(now, p.options.Rules) {
		if err := p.roll(ctx, now); err != nil {
			return err
		}
	}
	releases := p.takeReleases()
	requests := make([]claim.Request, 0, len(batch)+len(releases))
	for _, w := range batch {
		requests = append(requests, w.Request)
	}
	requests = append(requests, releases...)
	next, verdicts := p.head.With(now, p.options.Rules, requests, p.older)
	if err := p.swap(ctx, next); err != nil {
		p.putBack(releases)
		return err
	}
	for n, w := range batch {
		w.verdict <- verdicts[n]
	}
	return nil
}

func (p *partition) takeReleases() []claim.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.releases
	p.releases = nil
	return taken
}

func (p *partition) putBack(releases []claim.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releases = append(releases, p.releases...)
}

func (p *partition) older(k claim.Key) (claim.Nonce, bool) {
	for _, claims := range p.segments {
		if n, ok := claims[k]; ok {
			return n, true
		}
	}
	return "", false
}

func (p *partition) headKey() string { return p.name + "/head" }

// read gets the head and the segments that are not held yet.
func (p *partition) read(ctx context.Context) error {
	if p.known {
		return nil
	}
	v, err := p.options.KeyValue.Get(ctx, p.headKey())
	if errors.Is(err, storeerr.ErrNotFound) {
		v, err = kv.Value{}, nil
	}
	if err != nil {
		return err
	}
	var h claim.Head
	if len(v.Data) > 0 {
		if err := cbor.Unmarshal(v.Data, &h); err != nil {
			return fmt.Errorf("claims: head of %s: %w", p.name, err)
		}
	}
	if err := p.readSegments(ctx, h); err != nil {
		return err
	}
	p.head = h
	p.revision = v.Revision
	p.known = true
	return nil
}

func (p *partition) readSegments(ctx context.Context, h claim.Head) error {
	held := make(map[string]map[claim.Key]claim.Nonce, len(h.Segments))
	for _, s := range h.Segments {
		if claims, ok := p.segments[s.Name]; ok {
			held[s.Name] = claims
			continue
		}
		v, err := p.options.KeyValue.Get(ctx, p.name+"/"+s.Name)
		if err != nil {
			return err
		}
		var claims map[claim.Key]claim.Nonce
		if err := cbor.Unmarshal(v.Data, &claims); err != nil {
			return fmt.Errorf("claims: segment %s of %s: %w", s.Name, p.name, err)
		}
		held[s.Name] = claims
	}
	p.segments = held
	return nil
}

// roll stores the head's claims as a segment and swaps in a head that names it.
func (p *partition) roll(ctx context.Context, now time.Time) error {
	name := p.head.SegmentName(p.revision)
	data, err := cbor.Marshal(p.head.Claims)
	if err != nil {
		return err
	}
	_, err = p.options.KeyValue.Swap(ctx, p.name+"/"+name, data, 0)
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return err
	}
	claims := p.head.Claims
	next := p.head.Roll(now, p.options.Rules, name)
	if err := p.swap(ctx, next); err != nil {
		return err
	}
	p.segments[name] = claims
	return nil
}

// swap stores a head on the revision that was read. Any error means that the
// head has to be read again.
func (p *partition) swap(ctx context.Context, next claim.Head) error {
	data, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	revision, err := p.options.KeyValue.Swap(ctx, p.headKey(), data, p.revision)
	if err != nil {
		return err
	}
	p.head = next
	p.revision = revision
	return nil
}
