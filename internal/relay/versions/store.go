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

	"github.com/cenkalti/backoff/v5"
)

// Keys in the platform's key-value service.
const (
	rootKey    = "settings/root"
	partKey    = "settings/part/"    // + content hash; never changed
	versionKey = "settings/version/" // + number; roots that are no longer in force
)

const (
	// maxRebases bounds how often a change is made anew after another operator's.
	// Chosen, not measured.
	maxRebases = 8
	// maxReads bounds the reads of a root to learn the outcome of a swap whose answer
	// was lost. Chosen, not measured.
	maxReads = 6
)

// Store is the settings in the platform's key-value service.
type Store struct {
	KeyValue kv.KeyValue
	Holder   *Holder
	Now      func() time.Time
	NewID    func() string // ids of changes; must never repeat
	Watches  func() bool   // whether this process watches the root, nil for yes
}

// readEvery is how often a process that does not watch reads the root. Versions
// reach it sooner through other processes; this covers the case that none has them.
// Derived: below the 11 s in which a change has to be in force.
const readEvery = 9 * time.Second

// Load reads the newest version and takes it. It returns the revision of the
// root for a watch.
func (s *Store) Load(ctx context.Context) (uint64, error) {
	v, err := s.KeyValue.Get(ctx, rootKey)
	if errors.Is(err, storeerr.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("settings: read root: %w", err)
	}
	return v.Revision, s.take(ctx, v)
}

func (s *Store) take(ctx context.Context, v kv.Value) error {
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
	_, err = s.Holder.Adopt(r, parts)
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

// Watch takes each new version until ctx is done, through outages.
func (s *Store) Watch(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.MaxInterval = 5 * time.Second
	var revision uint64
	for ctx.Err() == nil {
		next, err := s.follow(ctx, revision)
		if err != nil {
			log.Debugf("The root can't be followed: %v.", err)
			pause(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		revision = next
	}
}

// follow takes the next version: from a watch, or from a read now and then.
func (s *Store) follow(ctx context.Context, revision uint64) (uint64, error) {
	if s.Watches != nil && !s.Watches() {
		next, err := s.Load(ctx)
		pause(ctx, readEvery)
		return next, err
	}
	v, err := s.KeyValue.Watch(ctx, rootKey, revision)
	if err != nil {
		return revision, err
	}
	return v.Revision, s.take(ctx, v)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Change is what an operator wants.
type Change struct {
	Base   uint64 // version the change was made on
	Tree   settings.Tree
	Author string
	Note   string
}

// Commit puts a change in force. A change on an older version is laid over the
// newest one if they touch different nodes; else it is a conflict.
func (s *Store) Commit(ctx context.Context, c Change) (settings.Root, error) {
	base, err := s.At(ctx, c.Base)
	if err != nil {
		return settings.Root{}, err
	}
	id := s.NewID()
	for range maxRebases {
		newest, revision, err := s.newest(ctx)
		if err != nil {
			return settings.Root{}, err
		}
		if newest.Root.Change == id {
			return newest.Root, nil // an earlier try took effect late
		}
		tree, err := settings.Rebase(base, c.Tree, newest.Tree)
		if err != nil {
			return settings.Root{}, err
		}
		root, err := s.try(ctx, tree, newest.Root, revision, settings.Root{
			Change: id, Author: c.Author, Note: c.Note, At: s.Now().UTC(),
		})
		if !errors.Is(err, kv.ErrConflict) {
			return root, err
		}
	}
	return settings.Root{}, result.Errorf(result.SettingsConflict, "other changes kept coming first; try again")
}

// newest returns the stored version and the revision of its root.
func (s *Store) newest(ctx context.Context) (State, uint64, error) {
	v, err := s.KeyValue.Get(ctx, rootKey)
	if errors.Is(err, storeerr.ErrNotFound) {
		return State{}, 0, nil
	}
	if err != nil {
		return State{}, 0, unavailable(err)
	}
	r, err := parseRoot(v)
	if err != nil {
		return State{}, 0, err
	}
	tree, err := s.treeOf(ctx, r)
	return State{Root: r, Tree: tree}, v.Revision, err
}

func unavailable(err error) error {
	return result.Errorf(result.StoreUnavailable, "%v", err)
}

func (s *Store) treeOf(ctx context.Context, r settings.Root) (settings.Tree, error) {
	parts, err := s.readParts(ctx, s.Holder.Missing(r))
	if err != nil {
		return settings.Tree{}, unavailable(err)
	}
	return settings.Join(r, s.Holder.merge(r, parts))
}

// At returns the tree of a version, which may be the newest or an older one.
func (s *Store) At(ctx context.Context, version uint64) (settings.Tree, error) {
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

// try writes the parts, files the root it replaces, and swaps the root.
func (s *Store) try(ctx context.Context, t settings.Tree, old settings.Root, revision uint64, r settings.Root) (settings.Root, error) {
	if _, err := settings.Compile(t); err != nil {
		return settings.Root{}, err
	}
	r.Version = old.Version + 1
	r.Parent = old.Version
	r, parts, err := settings.Split(t, r)
	if err != nil {
		return settings.Root{}, err
	}
	if err := s.writeParts(ctx, parts, old); err != nil {
		return settings.Root{}, unavailable(err)
	}
	if err := s.file(ctx, old); err != nil {
		return settings.Root{}, unavailable(err)
	}
	data, err := json.Marshal(r)
	if err != nil {
		return settings.Root{}, err
	}
	_, err = s.KeyValue.Swap(ctx, rootKey, data, revision)
	if err != nil {
		err = s.settle(ctx, r, err)
	}
	if err != nil {
		return settings.Root{}, err
	}
	_, err = s.Holder.Adopt(r, parts)
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

// file keeps a root under its number before another replaces it.
func (s *Store) file(ctx context.Context, r settings.Root) error {
	if r.Version == 0 {
		return nil
	}
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.create(ctx, versionKey+strconv.FormatUint(r.Version, 10), data)
}

// create stores a value that never changes. That it is there already is as
// good, and so is a lost answer once a read shows it.
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

// settle finds out whether a swap that returned an error took effect. It looks
// for the change's own id in the root in force and those before it.
func (s *Store) settle(ctx context.Context, r settings.Root, cause error) error {
	if errors.Is(cause, kv.ErrConflict) || errors.Is(cause, storeerr.ErrUnavailable) {
		return storeError(cause)
	}
	wait := backoff.NewExponentialBackOff()
	for range maxReads {
		now, err := s.RootAt(ctx, r.Version)
		var code *result.Error
		switch {
		case err == nil && now.Change == r.Change:
			return nil
		case err == nil:
			return kv.ErrConflict // another change became this version
		case errors.As(err, &code) && code.Code == result.SettingsVersion:
			return kv.ErrConflict // not stored; may be tried again
		}
		pause(ctx, wait.NextBackOff())
	}
	unknown := result.Errorf(result.SettingsUnknown, "the swap of version %d was not answered: %v", r.Version, cause)
	unknown.Run = result.Unknown
	return unknown
}

func storeError(cause error) error {
	if errors.Is(cause, storeerr.ErrUnavailable) {
		return unavailable(cause)
	}
	return cause
}
