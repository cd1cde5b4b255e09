package claims_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/relay/claims"
	"foxcross.dev/foxcross/internal/testing/standin"

	"github.com/anishathalye/porcupine"
)

// Kinds of operations in a history of claims.
const (
	claimOperation   = "claim"
	releaseOperation = "release"
)

// Outputs of claim operations.
const (
	granted = "granted"
	taken   = "taken"
	unknown = "unknown"
)

// operation is a claim or a release of a key.
type operation struct {
	kind   string
	key    int
	client int
}

// model gives the owners that a key may have; 0 is none. A claim with an unknown outcome,
// or a release, may take effect at any later time or never.
var model = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(operation).key
			byKey[k] = append(byKey[k], o)
		}
		var all [][]porcupine.Operation
		for _, h := range byKey {
			all = append(all, h)
		}
		return all
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		owner, s := state.(int), input.(operation)
		switch {
		case s.kind == releaseOperation && owner == s.client:
			return []any{0, owner}
		case s.kind == releaseOperation:
			return []any{owner}
		case output == granted && owner == 0:
			return []any{s.client}
		case output == taken && owner != 0 && owner != s.client:
			return []any{owner}
		case output == unknown && owner == 0:
			return []any{0, s.client}
		case output == unknown:
			return []any{owner}
		default:
			return nil
		}
	},
}

// recorder collects operations with their times in virtual time.
type recorder struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	clients    int
}

func (r *recorder) client() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clients++
	return r.clients
}

func (r *recorder) add(s operation, output string, call, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: s.client, Input: s, Output: output, Call: call, Return: end,
	})
}

// claim claims a key once and, if release is set, releases it when the claim succeeds.
func (r *recorder) claim(b *claims.Batcher, key int, wait time.Duration, release bool) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	s := operation{kind: claimOperation, key: key, client: r.client()}
	call := time.Now().UnixNano()
	releaseKey, err := b.Claim(ctx, fmt.Sprint(key))
	end := time.Now().UnixNano()
	var code *result.Error
	switch {
	case err == nil:
		r.add(s, granted, call, end)
	case errors.As(err, &code) && code.Code == result.DuplicateKey:
		r.add(s, taken, call, end)
	default:
		r.add(s, unknown, call, math.MaxInt64)
		s.kind = releaseOperation
		r.add(s, "", end, math.MaxInt64)
	}
	if err == nil && release {
		s.kind = releaseOperation
		r.add(s, "", time.Now().UnixNano(), math.MaxInt64)
		releaseKey()
	}
}

// TestClaimsAreLinearizable checks the history of two entries that claim a few keys
// concurrently while the key-value service loses responses, is slow or is unavailable.
func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) { raceClaims(t, seed) })
	}
}

func raceClaims(t *testing.T, seed uint64) {
	var store standin.Store
	var r recorder
	ctx, cancel := context.WithCancel(context.Background())
	var all []*claims.Batcher
	var running, claiming sync.WaitGroup
	for n := range 2 {
		b := claims.New(claims.Options{KeyValue: &store, Owner: fmt.Sprint("entry-", n), Partitions: 2})
		all = append(all, b)
		running.Go(func() { b.Run(ctx) })
	}
	random := rand.New(rand.NewPCG(seed, 1))
	for n := range 60 {
		time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
		faults := []standin.Faults{{}, {Down: true}, {LoseSwaps: 1 + random.IntN(2)}, {Delay: 700 * time.Millisecond}}
		store.SetFaults(faults[random.IntN(len(faults))])
		key := n / 6
		wait := time.Duration(1+random.IntN(3)) * time.Second
		release := random.IntN(3) == 0
		claiming.Go(func() { r.claim(all[n%2], key, wait, release) })
	}
	claiming.Wait()
	store.SetFaults(standin.Faults{})
	time.Sleep(time.Minute)
	cancel()
	running.Wait()
	if !porcupine.CheckOperations(model.ToModel(), r.operations) {
		t.Errorf("seed %d: the history of claims is not linearizable", seed)
	}
}

// TestCheckerFindsTwoOwners checks that the linearizability check can fail.
func TestCheckerFindsTwoOwners(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 1, Input: operation{claimOperation, 1, 1}, Output: granted, Call: 0, Return: 10},
		{ClientId: 2, Input: operation{claimOperation, 1, 2}, Output: granted, Call: 20, Return: 30},
	}
	if porcupine.CheckOperations(model.ToModel(), history) {
		t.Error("two owners of a key were not found")
	}
}

// TestSwapsAreBounded checks that many claims share one swap.
func TestSwapsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store standin.Store
		ctx, cancel := context.WithCancel(context.Background())
		b := claims.New(claims.Options{KeyValue: &store, Owner: "entry"})
		var running, claiming sync.WaitGroup
		running.Go(func() { b.Run(ctx) })
		const claimed = 5000
		for n := range claimed {
			time.Sleep(time.Millisecond)
			claiming.Go(func() {
				if _, err := b.Claim(context.Background(), fmt.Sprint(n)); err != nil {
					t.Error(err)
				}
			})
		}
		claiming.Wait()
		cancel()
		running.Wait()
		swaps := store.Calls().Swaps
		t.Logf("%d claims in 5 s took %d swaps", claimed, swaps)
		const maxSwaps = 5*claims.SwapsPerSecond + 50
		if swaps > maxSwaps {
			t.Errorf("%d swaps, at most %d expected", swaps, maxSwaps)
		}
	})
}
