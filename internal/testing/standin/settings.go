package standin

import (
	"fmt"
	"time"

	"foxcross.dev/foxcross/internal/relay/versions"
)

// Settings returns a store of settings versions, kept in this store, for one process.
// The ids of its changes start with the name and are unique.
func (s *Store) Settings(name string, h *versions.Holder) *versions.Store {
	return &versions.Store{KeyValue: s, Holder: h, Now: time.Now, NewID: func() string {
		return fmt.Sprintf("%s-%d", name, s.changeCount.Add(1))
	}}
}
