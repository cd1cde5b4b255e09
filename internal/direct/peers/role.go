// Selection of the peers that read the platform's store.
//
// Rule: the first readerCount live peers by rank are readers, whatever the number of peers; the
// others receive updates from them. The rank orders peers by the time that their link and
// processor take to read large settings, then by a hash of the name. A peer of lower rank
// becomes a standby and also reads while too few of the peers before it get responses from the
// store or have yet to try; those whose keepalives have stopped (keepalive.go) do neither. Peers behind the first immediateStandbys do so one after the other.
// A standby remains one for standbyDuration after it was last needed.
// A starting process receives updates from others: it does not read the store for startWait,
// unless it is a seed, which all others contact. It then reads once if it still has no settings
// or endpoints. Until discoveryPeriod it follows the store only if no known peer does.
// Inputs: the live members, their read cost, whether each reads the store and gets responses,
// the seeds, the time.
// Units: peers.
// Never: peers agree on the roles; two differing views cost some calls, not correctness.

package peers

import (
	"time"

	"foxcross.dev/coord/fanout"
	"foxcross.dev/coord/rendezvous"
	"foxcross.dev/foxcross/internal/direct/directory"
)

const (
	// readerCount is how many peers read the store, so that one may fail. What they read spreads
	// from peer to peer, so more readers would not make updates faster.
	readerCount = 2
	// startWait is how long a starting process waits for updates from others before it reads the
	// store. A long wait delays readiness. After a power loss of all of 121 peers, with seeds
	// back 0.3 s after the first peers, a wait of 300 ms makes peers ready 0.31 s after their
	// start and refuses 767 requests; a wait of 120 ms makes them ready after 0.19 s and refuses
	// 405. A live seed responds within some 10 ms.
	startWait = 50 * time.Millisecond
	// metPeerWait is the same once another peer is known, which is then asked first. It is above
	// the time of two transfers on a tenth of a core.
	metPeerWait = 300 * time.Millisecond
	// firstStartWait is the same at the first start of the whole fleet, when there is no traffic
	// yet. It is above the time in which all peers start.
	firstStartWait = 2 * time.Second
	// isolatedWait is how long a process that has read the store once, and knows no peers, waits
	// before it follows the store. Without it peers that start together would each follow the store
	// until they know each other, for 11 calls instead of 2.
	isolatedWait = time.Second
	// storeTimeout is how long a reader may go without a response from the store before it counts
	// as failing: a watch of 0.7 s and its slack.
	storeTimeout = 1300 * time.Millisecond
	// immediateStandbys is how many peers try at once in place of readers that get no response,
	// and standbyStep is the additional delay of each further one. Without the delay every peer
	// would try while the store responds to none: 1,192 calls in a day with an outage of 8 s at 103
	// peers. If the store rejects two thirds of the machines, in one of 40 outages none of the
	// immediate standbys gets a response, and further standbys get one within seconds.
	immediateStandbys = 8
	standbyStep       = 500 * time.Millisecond
	// standbyDuration is how long a standby remains one after it was last needed. The peers
	// before it may fail in turns.
	standbyDuration = 3 * time.Second
)

// rankOf returns the rank of a peer, which is the same at all peers. The text of the hash key is
// part of the protocol: peers of other versions use it too.
func rankOf(name string, cost int) fanout.Rank {
	return fanout.Rank{Cost: cost, Hash: rendezvous.Rank(rendezvous.Hash("sentinel"), rendezvous.Hash(name))}
}

const (
	// referenceMegabits is the size of a large version of the settings on the wire: a megabyte.
	referenceMegabits = 8
	// referenceCPUMS is the processor time, on a whole core, to read and compile it: by
	// BenchmarkRecompile and the reading of a configuration, some 40 ms for 4,000 routes.
	referenceCPUMS = 40
	// maxReadCost is the cost, in ms, where link or processor have almost no capacity.
	maxReadCost = 1_000_000
)

// ReadCost estimates the time, in ms, that a peer takes to read a large version of the settings,
// by its link in 10^6 bits a second and its share of a core. It is 0, for unknown, if either is
// unknown. The cost makes peers with thin links read the store only if there are no others: over
// 10 Mbit/s the store's form of 1 MB takes 1.1 s, over 200 Mbit/s 0.06 s, and transfers between
// peers are compressed.
func ReadCost(linkMbps, processor float64) int {
	if linkMbps <= 0 || processor <= 0 {
		return 0
	}
	ms := referenceMegabits*1000/linkMbps + referenceCPUMS/processor
	return int(min(ms, maxReadCost))
}

// storeReadFails reports whether the peer reads the store and gets no response.
func (m *member) storeReadFails(now time.Time) bool {
	if m.storeLost {
		return true
	}
	return !m.readingSince.IsZero() && now.Sub(m.readingSince) > storeTimeout && !m.storeResponded
}

// roleByRank returns the role of this process by its rank among the live peers.
func (g *Group) roleByRank(now time.Time) directory.Role {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := rankOf(g.options.Name, g.options.ReadCost)
	before, failing := 0, 0
	for _, m := range g.members {
		if !m.alive(now) || m.name == "" {
			continue
		}
		if !m.rank.Before(own) {
			continue
		}
		before++
		if m.storeReadFails(now) || m.silent(now, g.resumedAt) {
			failing++
		}
	}
	switch {
	case before < readerCount:
		return directory.Reader
	case before-failing >= readerCount:
		g.standbyNeededSince = time.Time{}
		return directory.Follower
	}
	if g.standbyNeededSince.IsZero() {
		g.standbyNeededSince = now
	}
	if now.Sub(g.standbyNeededSince) < standbyDelay(before) {
		return directory.Follower
	}
	return directory.Standby
}

// standbyDelay returns how long a process waits before it becomes a standby, given the number of
// live peers of higher rank.
func standbyDelay(before int) time.Duration {
	return time.Duration(max(before-immediateStandbys, 0)) * standbyStep
}

// currentRole returns the current role of this process.
func (g *Group) currentRole(now time.Time) directory.Role {
	if now.Sub(g.startedAt) < discoveryPeriod {
		return g.startupRole(now)
	}
	return g.holdStandby(now, g.roleByRank(now))
}

// startupRole returns the role of a process within discoveryPeriod of its start.
func (g *Group) startupRole(now time.Time) directory.Role {
	uptime := now.Sub(g.startedAt)
	wait := startWait
	if g.options.FirstStart {
		wait = firstStartWait
	}
	version, revision := g.options.Directory.Versions()
	met, reader := g.findPeers(now)
	switch {
	case g.options.Seed || len(g.options.Seeds) == 0:
		return g.holdStandby(now, g.roleByRank(now))
	case uptime < wait:
		return directory.Follower
	case (version == 0 || revision == 0) && met && uptime < metPeerWait:
		return directory.Follower
	case version == 0 || revision == 0:
		return directory.Starter
	case reader, !met && uptime < isolatedWait:
		return directory.Follower
	default:
		return g.holdStandby(now, g.roleByRank(now))
	}
}

// findPeers reports whether any live peer is known, and whether one of them reads the store with
// success, so that this process need not. If this process reads the store itself, only peers of
// higher rank count as readers.
func (g *Group) findPeers(now time.Time) (met, reader bool) {
	own := rankOf(g.options.Name, g.options.ReadCost)
	reads := g.options.Directory.ReadsStore()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if !m.alive(now) || m.name == "" {
			continue
		}
		met = true
		if !m.readingSince.IsZero() && m.storeResponded && !m.storeReadFails(now) && (!reads || m.rank.Before(own)) {
			reader = true
		}
	}
	return met, reader
}

// holdStandby keeps a standby in that role for standbyDuration.
func (g *Group) holdStandby(now time.Time, r directory.Role) directory.Role {
	switch {
	case r == directory.Standby:
		g.lastStandby = now
	case r == directory.Follower && now.Sub(g.lastStandby) < standbyDuration:
		return directory.Standby
	}
	return r
}
