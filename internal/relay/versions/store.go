package versions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/storeerr"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/cenkalti/backoff/v5"
)

// Keys in the platform's key-value service.
const (
	rootKey    = "settings/root"
	partKey    = "settings/part/"    // + content hash; immutable
	versionKey = "settings/version/" // + number; roots of earlier versions
)

const (
	// maxRebases is how often a change is rebased after other operators' changes.
	maxRebases = 8
	// maxRetryDelay is the longest delay between two attempts to follow the root.
	maxRetryDelay = 5 * time.Second
	// maxOutcomeReads is how often the root is read to determine the outcome of a swap whose
	// response was lost.
	maxOutcomeReads = 6
)

// Store accesses the settings in the platform's key-value service: a root that names the
// parts of the newest version, and the parts by content hash.
type Store struct {
	KeyValue  kv.KeyValue
	Holder    *Holder
	Now       func() time.Time
	NewID     func() string // returns change ids, which must never repeat
	IsWatcher func() bool   // reports whether this process watches the root, nil for always
}

// readInterval is how often a process that does not watch reads the root. New versions
// normally arrive sooner through other processes; the read covers the case that none of
// them has the version. It is below the 11 s within which a change must be active.
const readInterval = 9 * time.Second

// Load reads the newest version and activates it. It returns the revision of the
// root, from which a watch can continue.
func (s *Store) Load(ctx context.Context) (uint64, error) {
	v, err := s.KeyValue.Get(ctx, rootKey)
	if errors.Is(err, storeerr.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("settings: read root: %w", err)
	}
	return v.Revision, s.apply(ctx, v)
}

// apply activates the version of a root if it is newer, after reading the parts that are
// not held.
func (s *Store) apply(ctx context.Context, v kv.Value) error {
	r, err := parseRoot(v)
	if err != nil {
		return err
	}
	if !r.Newer(s.Holder.State().Root) {
		return nil
	}
	parts, err := s.readParts(ctx, s.Holder.Missing(r))
	if err != nil {
		return err
	}
	_, err = s.Holder.Apply(r, parts)
	return err
}

func parseRoot(v kv.Value) (settings.Root, error) {
	var r settings.Root
	if err := json.Unmarshal(v.Data, &r); err != nil {
		return r, fmt.Errorf("settings: root: %w", err)
	}
	return r, nil
}

func (s *Store) readParts(ctx context.Context, hashes []string) (settings.Parts, error) {
	parts := settings.Parts{}
	for _, h := range hashes {
		v, err := s.KeyValue.Get(ctx, partKey+h)
		if err != nil {
			return nil, fmt.Errorf("settings: read part %s: %w", h, err)
		}
		parts[h] = v.Data
	}
	return parts, nil
}

// Watch activates each new version until ctx is done. It retries after errors.
func (s *Store) Watch(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.MaxInterval = maxRetryDelay
	var revision uint64
	for ctx.Err() == nil {
		next, err := s.follow(ctx, revision)
		if err != nil {
			log.Debugf("Can't follow the settings root: %v.", err)
			workers.Sleep(ctx, delay.NextBackOff())
			continue
		}
		delay.Reset()
		revision = next
	}
}

// follow activates the next version. It waits for it with a watch or, if this process
// does not watch, with a read every readInterval.
func (s *Store) follow(ctx context.Context, revision uint64) (uint64, error) {
	if s.IsWatcher != nil && !s.IsWatcher() {
		next, err := s.Load(ctx)
		workers.Sleep(ctx, readInterval)
		return next, err
	}
	v, err := s.KeyValue.Watch(ctx, rootKey, revision)
	if err != nil {
		return revision, err
	}
	return v.Revision, s.apply(ctx, v)
}

// Change is a change requested by an operator.
type Change struct {
	Base   uint64 // version that the change was made on
	Tree   settings.Tree
	Author string
	Note   string
}

// Commit stores and activates a change. A change based on an older version is rebased onto the
// newest one if they change different nodes; otherwise it is a conflict.
func (s *Store) Commit(ctx context.Context, c Change) (settings.Root, error) {
	base, err := s.TreeAt(ctx, c.Base)
	if err != nil {
		return settings.Root{}, err
	}
	id := s.NewID()
	for range maxRebases {
		newest, err := s.readNewest(ctx)
		if err != nil {
			return settings.Root{}, err
		}
		if newest.Root.Change == id {
			return newest.Root, nil // the swap of an earlier attempt took effect late
		}
		tree, err := settings.Rebase(base, c.Tree, newest.Tree)
		if err != nil {
			return settings.Root{}, err
		}
		root, err := s.replace(ctx, newest, tree, settings.Root{
			Change: id, Author: c.Author, Note: c.Note, At: s.Now().UTC(),
		})
		if !errors.Is(err, kv.ErrConflict) {
			return root, err
		}
	}
	return settings.Root{}, result.Errorf(result.SettingsConflict, "other changes kept coming first; try again")
}

// storedVersion is a version read from the key-value service.
type storedVersion struct {
	Root     settings.Root
	Tree     settings.Tree
	revision uint64 // of the root's value, 0 for none
}

// readNewest reads the newest version from the key-value service.
func (s *Store) readNewest(ctx context.Context) (storedVersion, error) {
	v, err := s.KeyValue.Get(ctx, rootKey)
	if errors.Is(err, storeerr.ErrNotFound) {
		return storedVersion{}, nil
	}
	if err != nil {
		return storedVersion{}, unavailable(err)
	}
	r, err := parseRoot(v)
	if err != nil {
		return storedVersion{}, err
	}
	tree, err := s.treeOf(ctx, r)
	return storedVersion{Root: r, Tree: tree, revision: v.Revision}, err
}

// unavailable wraps an error of the key-value service in its result code.
func unavailable(err error) error {
	return result.Errorf(result.StoreUnavailable, "%v", err)
}

func (s *Store) treeOf(ctx context.Context, r settings.Root) (settings.Tree, error) {
	parts, err := s.readParts(ctx, s.Holder.Missing(r))
	if err != nil {
		return settings.Tree{}, unavailable(err)
	}
	return settings.Join(r, s.Holder.partsOf(r, parts))
}

// TreeAt returns the tree of a version, the newest or an older one.
func (s *Store) TreeAt(ctx context.Context, version uint64) (settings.Tree, error) {
	if held := s.Holder.State(); held.Root.Version == version {
		return held.Tree, nil
	}
	if version == 0 {
		return settings.Tree{}, nil
	}
	r, err := s.RootAt(ctx, version)
	if err != nil {
		return settings.Tree{}, err
	}
	return s.treeOf(ctx, r)
}

// RootAt returns the root of a version.
func (s *Store) RootAt(ctx context.Context, version uint64) (settings.Root, error) {
	v, err := s.KeyValue.Get(ctx, rootKey)
	if err != nil && !errors.Is(err, storeerr.ErrNotFound) {
		return settings.Root{}, unavailable(err)
	}
	if err == nil {
		r, err := parseRoot(v)
		if err != nil || r.Version == version {
			return r, err
		}
	}
	v, err = s.KeyValue.Get(ctx, versionKey+strconv.FormatUint(version, 10))
	if errors.Is(err, storeerr.ErrNotFound) {
		return settings.Root{}, result.Errorf(result.SettingsVersion, "there is no version %d", version)
	}
	if err != nil {
		return settings.Root{}, unavailable(err)
	}
	return parseRoot(v)
}

// replace stores and activates a tree in place of the old version. It writes the parts, stores
// the old root under its version number, and swaps the root. It returns kv.ErrConflict if
// another change was stored first.
func (s *Store) replace(ctx context.Context, old storedVersion, t settings.Tree, r settings.Root) (settings.Root, error) {
	if _, err := settings.Compile(t); err != nil {
		return settings.Root{}, err
	}
	r.Version = old.Root.Version + 1
	r.Parent = old.Root.Version
	r, parts, err := settings.Split(t, r)
	if err != nil {
		return settings.Root{}, err
	}
	if err := s.writeParts(ctx, parts, old.Root); err != nil {
		return settings.Root{}, unavailable(err)
	}
	if err := s.archiveRoot(ctx, old.Root); err != nil {
		return settings.Root{}, unavailable(err)
	}
	data, err := json.Marshal(r)
	if err != nil {
		return settings.Root{}, err
	}
	if _, err = s.KeyValue.Swap(ctx, rootKey, data, old.revision); err != nil {
		err = s.swapOutcome(ctx, r, err)
	}
	if err != nil {
		return settings.Root{}, err
	}
	_, err = s.Holder.Apply(r, parts)
	return r, err
}

// writeParts stores the parts that the old root does not name.
func (s *Store) writeParts(ctx context.Context, parts settings.Parts, old settings.Root) error {
	stored := map[string]bool{}
	for _, h := range old.Parts {
		stored[h] = true
	}
	for h, data := range parts {
		if stored[h] {
			continue
		}
		if err := s.create(ctx, partKey+h, data); err != nil {
			return err
		}
	}
	return nil
}

// archiveRoot stores a root under its version number before another one replaces it.
func (s *Store) archiveRoot(ctx context.Context, r settings.Root) error {
	if r.Version == 0 {
		return nil
	}
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.create(ctx, versionKey+strconv.FormatUint(r.Version, 10), data)
}

// create stores an immutable value. It succeeds if the value already exists, or if a read
// finds it after the response to the swap was lost.
func (s *Store) create(ctx context.Context, key string, data []byte) error {
	_, err := s.KeyValue.Swap(ctx, key, data, 0)
	if err == nil || errors.Is(err, kv.ErrConflict) {
		return nil
	}
	if _, readErr := s.KeyValue.Get(ctx, key); readErr == nil {
		return nil
	}
	return err
}

// swapOutcome determines whether a swap that returned an error took effect, by the change
// id in the root of its version. It returns nil if it did, kv.ErrConflict if not, and
// SettingsUnknown if that can't be determined.
func (s *Store) swapOutcome(ctx context.Context, r settings.Root, cause error) error {
	if errors.Is(cause, kv.ErrConflict) || errors.Is(cause, storeerr.ErrUnavailable) {
		return withResultCode(cause)
	}
	delay := backoff.NewExponentialBackOff()
	for range maxOutcomeReads {
		now, err := s.RootAt(ctx, r.Version)
		var code *result.Error
		switch {
		case err == nil && now.Change == r.Change:
			return nil
		case err == nil:
			return kv.ErrConflict // another change has this version number
		case errors.As(err, &code) && code.Code == result.SettingsVersion:
			return kv.ErrConflict // not stored; may be retried
		}
		workers.Sleep(ctx, delay.NextBackOff())
	}
	unknown := result.Errorf(result.SettingsUnknown, "the swap of version %d was not answered: %v", r.Version, cause)
	unknown.Run = result.Unknown
	return unknown
}

func withResultCode(cause error) error {
	if errors.Is(cause, storeerr.ErrUnavailable) {
		return unavailable(cause)
	}
	return cause
}
