// Package kernel provides registries of plug-ins. A plug-in registers itself in its init
// function; a binary selects its plug-ins by importing them.
package kernel

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Registry maps names to plug-ins of one kind. The zero value is empty.
type Registry[T any] struct {
	mu      sync.Mutex
	plugins map[string]T
}

// Register adds a plug-in. It panics if the name is already registered.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.plugins[name]; taken {
		panic("kernel: plug-in " + name + " is registered twice")
	}
	if r.plugins == nil {
		r.plugins = map[string]T{}
	}
	r.plugins[name] = plugin
}

// Get returns the plug-in registered under the name.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.plugins[name]
	if !ok {
		names := strings.Join(slices.Sorted(maps.Keys(r.plugins)), ", ")
		return p, fmt.Errorf("kernel: no plug-in %q, there are: %s", name, names)
	}
	return p, nil
}
