package platformtest

import (
	"net/http"
	"sync"
)

// Header fields of copies of runs.
const (
	ReplicaField  = "X-Kv-Replica" // address of the runner that holds the copy
	ContinueField = "Kv-From"      // ADDRESS/ID of the copy
)

// copies are the copies of runs at all runners, by ADDRESS/ID.
var copies sync.Map

// DropCopies removes the copies that the runner holds.
func (r *Runner) DropCopies() {
	copies.Range(func(key, _ any) bool {
		if name, _ := key.(string); len(name) > len(r.Address()) && name[:len(r.Address())] == r.Address() {
			copies.Delete(key)
		}
		return true
	})
}

// refuseContinuation returns the refusal of a request to continue a run of which the runner has no
// copy. It makes the copy of a run that asks for one.
func (r *Runner) refuseContinuation(q *http.Request) (Behavior, bool) {
	id := q.Header.Get(RequestIDField)
	if holder := q.Header.Get(ReplicaField); holder != "" {
		copies.Store(holder+"/"+id, true)
	}
	from := q.Header.Get(ContinueField)
	if from == "" {
		return nil, false
	}
	if _, held := copies.LoadAndDelete(from); held && from == r.Address()+"/"+id {
		return nil, false
	}
	return Refuse{Status: http.StatusServiceUnavailable}, true
}
