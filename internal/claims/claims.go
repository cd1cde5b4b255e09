// Package claims claims idempotency keys in the platform's key-value service,
// many in one swap.
package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"foxcross.dev/coord/claim"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/platform"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Defaults of Options.
const (
	DefaultPartitions = 4
	DefaultPeriod     = time.Minute
	DefaultRetain     = 60
	LeastPace         = 50 * time.Millisecond
	SwapsPerSecond    = 80   // of all entries together
	mostWaiting       = 4096 // requests per partition
	mostBatch         = 1024
)

var log = logs.For("claims")

// Options of a Batcher. All entries must agree on Partitions, Period and Retain.
type Options struct {
	KeyValue   platform.KeyValue
	Owner      string           // name of the process, unique among the live ones
	Partitions int              // 0 for DefaultPartitions
	Rules      claim.Rules      // zero for the defaults
	Entries    func() int       // live entries that share the service, nil for one
	Pace       time.Duration    // least time between swaps of a partition, 0 for what Entries allow
	Now        func() time.Time // nil for the wall clock
	Start      time.Time        // of the process, to tell its nonces from a former one's
}

// pace is the time between swaps of a partition, so that all entries together
// stay within what the service takes.
func (o *Options) pace() time.Duration {
	if o.Pace > 0 {
		return o.Pace
	}
	return max(LeastPace, time.Duration(o.Entries()*o.Partitions)*time.Second/SwapsPerSecond)
}

// Batcher collects claims. Create it with New.
type Batcher struct {
	options    Options
	partitions []*partition
	mu         sync.Mutex
	last       uint64
}

// New returns a batcher that does not run yet.
func New(o Options) *Batcher {
	if o.Partitions <= 0 {
		o.Partitions = DefaultPartitions
	}
	if o.Rules.Period <= 0 {
		o.Rules.Period = DefaultPeriod
	}
	if o.Rules.Retain <= 0 {
		o.Rules.Retain = DefaultRetain
	}
	if o.Entries == nil {
		o.Entries = func() int { return 1 }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Start.IsZero() {
		o.Start = o.Now()
	}
	b := &Batcher{options: o}
	for n := range o.Partitions {
		b.partitions = append(b.partitions, &partition{
			options:  &b.options,
			name:     fmt.Sprintf("claims/%d", n),
			waiting:  make(chan *waiter, mostWaiting),
			segments: map[string]map[claim.Key]claim.Nonce{},
		})
	}
	return b
}

// Run swaps the batches in until ctx is done.
func (b *Batcher) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, p := range b.partitions {
		all.Go(func() { p.run(ctx) })
	}
	all.Wait()
}

// waiter is a request and the channel that takes its verdict.
type waiter struct {
	claim.Request
	verdict chan claim.Verdict // buffered
	ctx     context.Context
}

func (b *Batcher) nonce() claim.Nonce {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	return claim.Nonce(fmt.Sprintf("%s.%x.%x", b.options.Owner, b.options.Start.UnixNano(), b.last))
}

func (b *Batcher) partitionOf(k claim.Key) *partition {
	return b.partitions[xxhash.Sum64(k[:])%uint64(len(b.partitions))]
}

// Claim returns nil once the key is the caller's alone, until it is released.
// An error means that the caller must not go on.
func (b *Batcher) Claim(ctx context.Context, key string) (release func(), err error) {
	q := claim.Request{Key: claim.HashKey(key), Nonce: b.nonce()}
	p := b.partitionOf(q.Key)
	w := &waiter{Request: q, verdict: make(chan claim.Verdict, 1), ctx: ctx}
	free := func() { p.release(q) }
	select {
	case p.waiting <- w:
	default:
		return nil, result.Errorf(result.ClaimUnavailable, "too many claims are waiting")
	}
	select {
	case v := <-w.verdict:
		if v == claim.Taken {
			return nil, &result.Error{Code: result.DuplicateKey, Run: result.Unknown}
		}
		return free, nil
	case <-ctx.Done():
		free() // the claim may still be stored
		return nil, result.Errorf(result.ClaimUnavailable, "the key-value service did not answer in time")
	}
}

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
	if len(p.releases) < mostWaiting {
		p.releases = append(p.releases, q)
	}
	p.mu.Unlock()
	select {
	case p.waiting <- nil: // wakes run
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
		if !pause(ctx, p.options.pace()) {
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
	for len(batch) < mostBatch {
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

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
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
	if errors.Is(err, platform.ErrNotFound) {
		v, err = platform.Value{}, nil
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
	if err != nil && !errors.Is(err, platform.ErrConflict) {
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
