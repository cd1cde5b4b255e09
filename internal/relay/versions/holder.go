// Package versions holds the active settings tree of a process. It fetches newer versions
// from the platform's key-value service or from a peer (the process at the other end of a
// connection), and commits operators' changes. A process never returns to a lower version.
package versions

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/logs"
)

// fetchTimeout bounds one fetch of a version from another process. It allows up to 6 MB at 10
// Mbit/s; 40,000 teams take 5.3 MB (docs/CAPACITY.md).
const fetchTimeout = 5 * time.Second

var log = logs.For("settings")

// State is a complete and validated version of the settings.
type State struct {
	Root     settings.Root
	Tree     settings.Tree
	Snapshot settings.Snapshot
	parts    settings.Parts
}

// Holder holds the active version. The zero value holds version 0 without a tree.
//
// Lock order: Holder.order, then Holder.mu.
type Holder struct {
	// ForwardOnly makes the process hold versions only to forward them: parts are checked by
	// their hashes and not compiled to a tree.
	ForwardOnly bool

	order     sync.Mutex // held while listeners are called, so that versions are delivered in order
	mu        sync.Mutex
	state     State
	fetching  uint64 // version being fetched from a peer, 0 for none
	listeners []func(State)
}

// State returns the active version.
func (h *Holder) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Version returns the number of the active version, 0 for none.
func (h *Holder) Version() uint64 { return h.State().Root.Version }

// OnChange registers a function that is called with each new version.
func (h *Holder) OnChange(f func(State)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, f)
}

// Apply activates a version if it is newer than the active one, complete and valid. It
// reports whether it did.
func (h *Holder) Apply(r settings.Root, parts settings.Parts) (bool, error) {
	held := h.partsOf(r, parts)
	if h.ForwardOnly {
		if err := settings.Complete(r, held); err != nil {
			return false, err
		}
		return h.setIfNewer(State{Root: r, parts: held}), nil
	}
	tree, err := settings.Join(r, held)
	if err != nil {
		return false, err
	}
	snapshot, err := settings.Compile(tree)
	if err != nil {
		return false, err
	}
	return h.setIfNewer(State{Root: r, Tree: tree, Snapshot: snapshot, parts: held}), nil
}

// partsOf returns the parts that the root names, from the new parts and those held.
func (h *Holder) partsOf(r settings.Root, parts settings.Parts) settings.Parts {
	old := h.State().parts
	held := make(settings.Parts, len(r.Parts))
	for _, hash := range r.Parts {
		if data, ok := parts[hash]; ok {
			held[hash] = data
		} else if data, ok := old[hash]; ok {
			held[hash] = data
		}
	}
	return held
}

// setIfNewer activates a version if it is newer than the active one. It reports whether it did.
func (h *Holder) setIfNewer(s State) bool {
	h.order.Lock()
	defer h.order.Unlock()
	h.mu.Lock()
	if !s.Root.Newer(h.state.Root) {
		h.mu.Unlock()
		return false
	}
	h.state = s
	listeners := h.listeners
	h.mu.Unlock()
	log.Infof("Settings version %d is active.", s.Root.Version)
	for _, f := range listeners {
		f(s)
	}
	return true
}

// Missing returns the hashes of the root's parts that are not held.
func (h *Holder) Missing(r settings.Root) []string { return r.Missing(h.State().parts) }

// Fetch requests a version from a peer.
type Fetch = func(context.Context, message.SettingsRequest) (message.SettingsReply, error)

// Announced starts fetching a version that a peer holds, if it is newer than the active one
// and than any that is being fetched.
func (h *Holder) Announced(version uint64, fetch Fetch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.state.Root.Version || version <= h.fetching {
		return
	}
	h.fetching = version
	go h.fetch(version, fetch)
}

func (h *Holder) fetch(version uint64, fetch Fetch) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	defer h.fetchDone(version)
	reply, err := fetch(ctx, message.SettingsRequest{Version: version, Have: h.heldHashes()})
	if err != nil {
		log.Warnf("Can't fetch settings version %d from a peer: %v.", version, err)
		return
	}
	var r settings.Root
	if err := json.Unmarshal(reply.Root, &r); err != nil {
		log.Warnf("Can't parse a peer's root of settings version %d: %v.", version, err)
		return
	}
	if _, err := h.Apply(r, reply.Parts); err != nil {
		log.Warnf("Can't apply settings version %d from a peer: %v.", r.Version, err)
	}
}

func (h *Holder) fetchDone(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fetching == version {
		h.fetching = 0
	}
}

func (h *Holder) heldHashes() []string {
	var hashes []string
	for hash := range h.State().parts {
		hashes = append(hashes, hash)
	}
	return hashes
}

// Reply returns the active version, without the parts that the requesting peer holds.
func (h *Holder) Reply(q message.SettingsRequest) message.SettingsReply {
	s := h.State()
	root, err := json.Marshal(s.Root)
	if err != nil {
		return message.SettingsReply{} // a root can always be marshalled
	}
	have := make(map[string]bool, len(q.Have))
	for _, hash := range q.Have {
		have[hash] = true
	}
	reply := message.SettingsReply{Root: root, Parts: map[string][]byte{}}
	for hash, data := range s.parts {
		if !have[hash] {
			reply.Parts[hash] = data
		}
	}
	return reply
}
