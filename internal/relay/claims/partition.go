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

// partition holds the claims whose keys hash to it.
type partition struct {
	options *Options
	name    string
	queue   chan *pendingClaim

	mu       sync.Mutex
	releases []claim.Request

	// Only the goroutine of run uses the following fields.
	revision uint64
	head     claim.Head
	current  bool // whether head and revision match what was last read or stored
	segments map[string]map[claim.Key]claim.Nonce
}

// release queues a key to be released with one of the next swaps.
func (p *partition) release(q claim.Request) {
	q.Release = true
	p.mu.Lock()
	if len(p.releases) < maxQueued {
		p.releases = append(p.releases, q)
	} else {
		log.WarnLimited("release", "Too many keys are queued for release; one stays claimed until its claim expires.")
	}
	p.mu.Unlock()
	select {
	case p.queue <- nil: // wakes run to store the release
	default:
	}
}

func (p *partition) run(ctx context.Context) {
	var batch []*pendingClaim
	for {
		if len(batch) == 0 {
			select {
			case w := <-p.queue:
				batch = appendPending(batch, w)
			case <-ctx.Done():
				return
			}
		}
		batch = p.fill(batch)
		if err := p.storeBatch(ctx, batch); err != nil {
			p.current = false
			log.Debugf("A swap of %s failed: %v.", p.name, err)
			batch = withoutCancelled(batch)
		} else {
			batch = nil
		}
		if !workers.Sleep(ctx, p.options.swapInterval()) {
			return
		}
	}
}

// appendPending appends a claim unless its caller has given up: the release of such a
// claim may already be stored.
func appendPending(batch []*pendingClaim, w *pendingClaim) []*pendingClaim {
	if w == nil || w.ctx.Err() != nil {
		return batch
	}
	return append(batch, w)
}

// fill appends queued claims to the batch, up to maxBatch.
func (p *partition) fill(batch []*pendingClaim) []*pendingClaim {
	for len(batch) < maxBatch {
		select {
		case w := <-p.queue:
			batch = appendPending(batch, w)
		default:
			return batch
		}
	}
	return batch
}

// withoutCancelled returns the claims whose callers still wait.
func withoutCancelled(batch []*pendingClaim) []*pendingClaim {
	var kept []*pendingClaim
	for _, w := range batch {
		if w.ctx.Err() == nil {
			kept = append(kept, w)
		}
	}
	return kept
}

// storeBatch reads the head if needed, rolls it over if due, and stores the batch. After an
// error the stored state is unknown. The same batch may be retried, since a claim that is
// already stored is recognised by its nonce.
func (p *partition) storeBatch(ctx context.Context, batch []*pendingClaim) error {
	if err := p.read(ctx); err != nil {
		return err
	}
	now := p.options.Now()
	if p.head.NeedsRoll(now, p.options.Settings) {
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
	next, outcomes := p.head.Apply(now, p.options.Settings, requests, p.claimInSegments)
	if err := p.swap(ctx, next); err != nil {
		p.requeueReleases(releases)
		return err
	}
	for n, w := range batch {
		w.outcome <- outcomes[n]
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

func (p *partition) requeueReleases(releases []claim.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releases = append(releases, p.releases...)
}

func (p *partition) claimInSegments(k claim.Key) (claim.Nonce, bool) {
	for _, claims := range p.segments {
		if n, ok := claims[k]; ok {
			return n, true
		}
	}
	return "", false
}

func (p *partition) headKey() string { return p.name + "/head" }

// read reads the head and the segments that are not cached.
func (p *partition) read(ctx context.Context) error {
	if p.current {
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
	p.current = true
	return nil
}

func (p *partition) readSegments(ctx context.Context, h claim.Head) error {
	segments := make(map[string]map[claim.Key]claim.Nonce, len(h.Segments))
	for _, s := range h.Segments {
		if claims, ok := p.segments[s.Name]; ok {
			segments[s.Name] = claims
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
		segments[s.Name] = claims
	}
	p.segments = segments
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
	next := p.head.Roll(now, p.options.Settings, name)
	if err := p.swap(ctx, next); err != nil {
		return err
	}
	p.segments[name] = claims
	return nil
}

// swap stores a head if the stored one still has the revision that was read. After any
// error the head must be read again.
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
