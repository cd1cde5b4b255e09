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

// Kinds of steps in a history of claims.
const (
	claimStep   = "claim"
	releaseStep = "release"
)

// Verdicts of claim steps.
const (
	mine    = "mine"
	taken   = "taken"
	unknown = "unknown"
)

// step is the input of one operation on a key.
type step struct {
	kind   string
	key    int
	client int
}

// model says which owners a key may have: 0 is free. A claim whose outcome is
// not known, or a release, may take effect at any later time or never.
var model = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(step).key
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
		owner, s := state.(int), input.(step)
		switch {
		case s.kind == releaseStep && owner == s.client:
			return []any{0, owner}
		case s.kind == releaseStep:
			return []any{owner}
		case output == mine && owner == 0:
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

// recorder collects operations with virtual times.
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

func (r *recorder) add(s step, output string, call, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: s.client, Input: s, Output: output, Call: call, Return: end,
	})
}

// claim claims a key once; a caller that gets it may release it.
func (r *recorder) claim(b *claims.Batcher, key int, wait time.Duration, release bool) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	s := step{kind: claimStep, key: key, client: r.client()}
	call := time.Now().UnixNano()
	free, err := b.Claim(ctx, fmt.Sprint(key))
	end := time.Now().UnixNano()
	var code *result.Error
	switch {
	case err == nil:
		r.add(s, mine, call, end)
	case errors.As(err, &code) && code.Code == result.DuplicateKey:
		r.add(s, taken, call, end)
	default:
		r.add(s, unknown, call, math.MaxInt64)
		s.kind = releaseStep
		r.add(s, "", end, math.MaxInt64)
	}
	if err == nil && release {
		s.kind = releaseStep
		r.add(s, "", time.Now().UnixNano(), math.MaxInt64)
		free()
	}
}

// TestClaimsAreLinearizable races two entries for a few keys while the service
// loses answers, is slow and is down.
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
	var running, asking sync.WaitGroup
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
		asking.Go(func() { r.claim(all[n%2], key, wait, release) })
	}
	asking.Wait()
	store.SetFaults(standin.Faults{})
	time.Sleep(time.Minute)
	cancel()
	running.Wait()
	if !porcupine.CheckOperations(model.ToModel(), r.operations) {
		t.Errorf("seed %d: the history of claims is not linearizable", seed)
	}
}

// TestCheckerFindsTwoOwners makes sure that the check above can fail.
func TestCheckerFindsTwoOwners(t *testing.T) {
	planted := []porcupine.Operation{
		{ClientId: 1, Input: step{claimStep, 1, 1}, Output: mine, Call: 0, Return: 10},
		{ClientId: 2, Input: step{claimStep, 1, 2}, Output: mine, Call: 20, Return: 30},
	}
	if porcupine.CheckOperations(model.ToModel(), planted) {
		t.Error("two owners of a key were not found")
	}
}

// TestSwapsAreBounded counts swaps against claims: many claims share one.
func TestSwapsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store standin.Store
		ctx, cancel := context.WithCancel(context.Background())
		b := claims.New(claims.Options{KeyValue: &store, Owner: "entry"})
		var running, asking sync.WaitGroup
		running.Go(func() { b.Run(ctx) })
		const claimed = 5000
		for n := range claimed {
			time.Sleep(time.Millisecond)
			asking.Go(func() {
				if _, err := b.Claim(context.Background(), fmt.Sprint(n)); err != nil {
					t.Error(err)
				}
			})
		}
		asking.Wait()
		cancel()
		running.Wait()
		swaps := store.Calls().Swaps
		t.Logf("%d claims in 5 s took %d swaps", claimed, swaps)
		const most = 5*claims.SwapsPerSecond + 50
		if swaps > most {
			t.Errorf("%d swaps, at most %d expected", swaps, most)
		}
	})
}
