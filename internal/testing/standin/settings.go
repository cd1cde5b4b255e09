package standin

import (
	"fmt"
	"time"

	"foxcross.dev/foxcross/internal/relay/versions"
)

// Settings returns a store of settings versions in this store, for one process. The
// ids of its changes start with the name and do not repeat.
func (s *Store) Settings(name string, h *versions.Holder) *versions.Store {
	return &versions.Store{KeyValue: s, Holder: h, Now: time.Now, NewID: func() string {
		return fmt.Sprintf("%s-%d", name, s.changes.Add(1))
	}}
}
