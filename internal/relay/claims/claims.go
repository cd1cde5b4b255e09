// Package claims claims idempotency keys in the platform's key-value service. It batches
// many claims into one compare-and-swap.
package claims

import (
	"context"
	"fmt"
	"sync"
	"time"

	"foxcross.dev/coord/claim"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/relay/kv"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Options. DefaultPartitions, DefaultPeriod and DefaultRetain must be the same
// at all entries.
const (
	// DefaultPartitions is the number of values over which keys are distributed.
	DefaultPartitions = 4
	// DefaultPeriod is the time covered by one segment of claims.
	DefaultPeriod = time.Minute
	// DefaultRetain is the number of periods for which a claim is kept: an hour.
	DefaultRetain = 60
	// MinSwapInterval is the shortest time between two swaps of a partition by one entry.
	MinSwapInterval = 50 * time.Millisecond
	// SwapsPerSecond limits the swaps of all entries together to a fraction of the some
	// hundred writes a second that the key-value service takes.
	SwapsPerSecond = 80
)

const (
	// maxQueued is the maximum number of claims queued for a partition.
	maxQueued = 4096
	// maxBatch is the maximum number of claims in one swap.
	maxBatch = 1024
)

var log = logs.For("claims")

// Options configures a Batcher. Partitions and Settings must be the same at all entries.
type Options struct {
	KeyValue     kv.KeyValue
	Owner        string           // name of the process, unique among the live ones
	Partitions   int              // 0 for DefaultPartitions
	Settings     claim.Settings   // zero fields for the defaults
	Entries      func() int       // live entries that share the service, nil for one
	SwapInterval time.Duration    // least time between swaps of a partition, 0 to derive it from Entries
	Now          func() time.Time // nil for the wall clock
	Start        time.Time        // of the process; distinguishes its nonces from those of an earlier process
}

// swapInterval returns the time between two swaps of a partition. If Options.SwapInterval is not
// set, all entries together stay within SwapsPerSecond.
func (o *Options) swapInterval() time.Duration {
	if o.SwapInterval > 0 {
		return o.SwapInterval
	}
	return max(MinSwapInterval, time.Duration(o.Entries()*o.Partitions)*time.Second/SwapsPerSecond)
}

// Batcher collects claims and stores them in batches. Create it with New.
type Batcher struct {
	options    Options
	partitions []*partition
	mu         sync.Mutex
	lastNonce  uint64
}

// New returns a batcher that is not yet running.
func New(o Options) *Batcher {
	if o.Partitions <= 0 {
		o.Partitions = DefaultPartitions
	}
	if o.Settings.Period <= 0 {
		o.Settings.Period = DefaultPeriod
	}
	if o.Settings.RetainPeriods <= 0 {
		o.Settings.RetainPeriods = DefaultRetain
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
			queue:    make(chan *pendingClaim, maxQueued),
			segments: map[string]map[claim.Key]claim.Nonce{},
		})
	}
	return b
}

// Run stores batches until ctx is done.
func (b *Batcher) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, p := range b.partitions {
		running.Go(func() { p.run(ctx) })
	}
	running.Wait()
}

// pendingClaim is a claim that waits for its outcome.
type pendingClaim struct {
	claim.Request
	outcome chan claim.Outcome // buffered
	ctx     context.Context
}

func (b *Batcher) nonce() claim.Nonce {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastNonce++
	return claim.Nonce(fmt.Sprintf("%s.%x.%x", b.options.Owner, b.options.Start.UnixNano(), b.lastNonce))
}

func (b *Batcher) partitionOf(k claim.Key) *partition {
	return b.partitions[xxhash.Sum64(k[:])%uint64(len(b.partitions))]
}

// Claim returns once the key belongs to the caller alone, until release is called. If it
// returns an error, the caller must not proceed.
func (b *Batcher) Claim(ctx context.Context, key string) (release func(), err error) {
	q := claim.Request{Key: claim.HashKey(key), Nonce: b.nonce()}
	p := b.partitionOf(q.Key)
	w := &pendingClaim{Request: q, outcome: make(chan claim.Outcome, 1), ctx: ctx}
	releaseKey := func() { p.release(q) }
	select {
	case p.queue <- w:
	default:
		return nil, result.Errorf(result.ClaimUnavailable, "too many claims are waiting")
	}
	select {
	case v := <-w.outcome:
		if v == claim.Conflict {
			return nil, &result.Error{Code: result.DuplicateKey, Run: result.Unknown}
		}
		return releaseKey, nil
	case <-ctx.Done():
		releaseKey() // the claim may still be stored
		return nil, result.Errorf(result.ClaimUnavailable, "the key-value service did not answer in time")
	}
}
