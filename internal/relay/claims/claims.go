// Package claims claims idempotency keys in the platform's key-value service,
// many in one swap.
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

// Defaults of Options. DefaultPartitions, DefaultPeriod and DefaultRetain must be alike
// at all entries.
const (
	// DefaultPartitions is over how many values keys are spread.
	DefaultPartitions = 4
	// DefaultPeriod is the time that one segment of claims covers.
	DefaultPeriod = time.Minute
	// DefaultRetain is for how many periods a claim is kept. An hour.
	DefaultRetain = 60
	// MinPace is the shortest time between two swaps of a partition by one entry.
	MinPace = 50 * time.Millisecond
	// SwapsPerSecond bounds the swaps of all entries together. A part of the
	// some hundred writes a second that the service takes.
	SwapsPerSecond = 80
)

const (
	// maxWaiting bounds the requests that wait for a partition.
	maxWaiting = 4096
	// maxBatch bounds the claims of one swap.
	maxBatch = 1024
)

var log = logs.For("claims")

// Options of a Batcher. All entries must agree on Partitions, Period and Retain.
type Options struct {
	KeyValue   kv.KeyValue
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
	return max(MinPace, time.Duration(o.Entries()*o.Partitions)*time.Second/SwapsPerSecond)
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
			waiting:  make(chan *waiter, maxWaiting),
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
