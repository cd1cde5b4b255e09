package versions_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/relay/versions"
	"foxcross.dev/foxcross/internal/testing/standin"

	"github.com/anishathalye/porcupine"
)

// commit is the input of a change: a node and its new value, and the base version.
type commit struct {
	base  int
	path  string
	value int
}

// outcome is the result of a commit.
type outcome struct {
	version  int // 0 if not accepted
	conflict bool
	unknown  bool
}

// model holds the accepted changes as text, one per line.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		history, c, o := state.(string), input.(commit), output.(outcome)
		lines := strings.Split(history, "\n")
		next := history + fmt.Sprintf("\n%s=%d", c.path, c.value)
		conflict := conflicts(lines, c)
		switch {
		case o.unknown && conflict:
			return []any{history}
		case o.unknown:
			return []any{history, next}
		case o.conflict && conflict:
			return []any{history}
		case o.version == len(lines)+1 && !conflict:
			return []any{next}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
}

// conflicts reports whether a change after the base set the same node to another value.
// The first line stands for the version that created the tree.
func conflicts(lines []string, c commit) bool {
	own := fmt.Sprintf("%s=%d", c.path, c.value)
	for n, l := range lines {
		if n >= c.base && l != own && strings.HasPrefix(l, c.path+"=") {
			return true
		}
	}
	return false
}

const tree = `{"children":[{"name":"teams","children":[{"name":"a","kind":"team"},{"name":"b","kind":"team"}]}]}`

// TestChangesAreLinearizable checks the history of two operators who change two nodes
// concurrently while the key-value service loses responses or is unavailable. Every accepted
// change must stand in the final tree's history at the position of its version.
func TestChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) { raceChanges(t, seed) })
	}
}

type scenario struct {
	t          *testing.T
	store      standin.Store
	mu         sync.Mutex
	operations []porcupine.Operation
	ids        int
}

func (r *scenario) newStore() *versions.Store {
	return &versions.Store{KeyValue: &r.store, Holder: &versions.Holder{}, Now: time.Now, NewID: func() string {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ids++
		return fmt.Sprint(r.ids)
	}}
}

func raceChanges(t *testing.T, seed uint64) {
	r := &scenario{t: t}
	first, err := settings.Parse([]byte(tree))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if _, err := r.newStore().Commit(ctx, versions.Change{Tree: first}); err != nil {
		t.Fatal(err)
	}
	var watching, operating sync.WaitGroup
	for n := range 2 {
		s := r.newStore()
		watching.Go(func() { s.Watch(ctx) })
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		operating.Go(func() { r.runOperator(s, n, random) })
	}
	operating.Go(func() { r.injectFaults(rand.New(rand.NewPCG(seed, 9))) })
	operating.Wait()
	cancel()
	watching.Wait()
	if !porcupine.CheckOperations(model.ToModel(), r.operations) {
		t.Errorf("seed %d: the history of changes is not linearizable: %v", seed, r.operations)
	}
}

func (r *scenario) injectFaults(random *rand.Rand) {
	for range 12 {
		time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
		faults := []standin.Faults{{}, {Down: true}, {LoseSwaps: 1 + random.IntN(4)}, {Delay: 300 * time.Millisecond}}
		r.store.SetFaults(faults[random.IntN(len(faults))])
	}
	r.store.SetFaults(standin.Faults{})
}

func (r *scenario) runOperator(s *versions.Store, client int, random *rand.Rand) {
	for n := range 12 {
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		held := s.Holder.State()
		if held.Root.Version == 0 {
			continue
		}
		path := []string{"teams/a", "teams/b"}[random.IntN(2)]
		value := 1 + n*2 + client // never equal to the other operator's
		node := settings.Node{Kind: settings.Team, Set: settings.Fields{Weight: &value}}
		input := commit{base: int(held.Root.Version), path: path, value: value}
		call := time.Now().UnixNano()
		root, err := s.Commit(context.Background(), versions.Change{Base: held.Root.Version, Tree: held.Tree.With(path, node)})
		r.record(client, input, root, err, call)
	}
}

func (r *scenario) record(client int, c commit, root settings.Root, err error, call int64) {
	o := outcome{version: int(root.Version)}
	end := time.Now().UnixNano()
	var code *result.Error
	if err != nil && !errors.As(err, &code) {
		r.t.Errorf("an error without a result code: %v", err)
		return
	}
	if err != nil {
		o = outcome{conflict: code.Code == result.SettingsConflict, unknown: code.Run == result.Unknown}
		if !o.conflict && !o.unknown {
			return // the service was down and nothing was stored
		}
	}
	if o.unknown {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: c, Output: o, Call: call, Return: end})
}

// TestCheckerFindsALostChange checks that the linearizability check can fail.
func TestCheckerFindsALostChange(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: commit{1, "teams/a", 1}, Output: outcome{version: 2}, Call: 0, Return: 1},
		{ClientId: 1, Input: commit{1, "teams/a", 2}, Output: outcome{version: 2}, Call: 2, Return: 3},
	}
	if porcupine.CheckOperations(model.ToModel(), history) {
		t.Error("a change that overwrote another was not found")
	}
}
