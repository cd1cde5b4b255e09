package peers_test

import (
	"sync/atomic"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// maxLockTime is far longer than any method holds the lock of a group.
const maxLockTime = 10 * time.Second

// guardedDirectory records whether a group holds its lock while it calls the directory.
type guardedDirectory struct {
	*directory.Directory
	group atomic.Pointer[peers.Group] // nil until it has been started
	held  atomic.Bool
	calls atomic.Int64
}

// check takes the lock of the group and releases it.
func (d *guardedDirectory) check() {
	d.calls.Add(1)
	g := d.group.Load()
	if g == nil || d.held.Load() {
		return
	}
	taken := make(chan struct{})
	go func() {
		g.TrueTime(time.Now())
		close(taken)
	}()
	select {
	case <-taken:
	case <-time.After(maxLockTime):
		d.held.Store(true)
	}
}

func (d *guardedDirectory) Versions() (version, revision uint64) {
	d.check()
	return d.Directory.Versions()
}

func (d *guardedDirectory) Claims() directory.Claims {
	d.check()
	return d.Directory.Claims()
}

func (d *guardedDirectory) Confirm(version uint64, at time.Time) {
	d.check()
	d.Directory.Confirm(version, at)
}

func (d *guardedDirectory) Versioned() bool {
	d.check()
	return d.Directory.Versioned()
}

func (d *guardedDirectory) ConfirmEndpoints(revision uint64, at time.Time) {
	d.check()
	d.Directory.ConfirmEndpoints(revision, at)
}

func (d *guardedDirectory) LastStoreContact() time.Time {
	d.check()
	return d.Directory.LastStoreContact()
}

func (d *guardedDirectory) StoreResponds() bool {
	d.check()
	return d.Directory.StoreResponds()
}

func (d *guardedDirectory) ReadsStore() bool {
	d.check()
	return d.Directory.ReadsStore()
}

func (d *guardedDirectory) SetRole(r directory.Role) {
	d.check()
	d.Directory.SetRole(r)
}

func (d *guardedDirectory) SettingsAnnounced(version uint64) {
	d.check()
	d.Directory.SettingsAnnounced(version)
}

func (d *guardedDirectory) Evacuations() driver.Evacuations {
	d.check()
	return d.Directory.Evacuations()
}

func (d *guardedDirectory) ApplyEvacuations(e driver.Evacuations, source string) {
	d.check()
	d.Directory.ApplyEvacuations(e, source)
}

var _ = Describe("the locks of a group and its directory", func() {
	It("can't deadlock: the group holds none while it calls the directory", func() {
		list := driver.Endpoints{Revision: 5, List: []placement.Endpoint{{ID: "i-1", Service: "pool", Address: "10.0.0.1:80"}}}
		a := startPeerIn("x", "a", "", 1)
		b := startPeerIn("x", "b", "", 2, a.group.Address())
		c := startPeerIn("y", "c", "", 3, a.group.Address())
		b.directory.ReplaceEndpoints(list, "store")
		for _, e := range []*testPeer{a, b, c} {
			Eventually(e.group.Live).Should(Equal(3))
			Eventually(func() uint64 { _, revision := e.directory.Versions(); return revision }).Should(BeEquivalentTo(5))
		}
		for _, e := range []*testPeer{a, b, c} {
			Expect(e.guarded.calls.Load()).To(BeNumerically(">", 0))
			Expect(e.guarded.held.Load()).To(BeFalse())
		}
	})
})
