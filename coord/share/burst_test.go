package share_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/admission"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/share"
)

const (
	burstTeams   = 24
	burstEngines = 20
	burstEntries = 4
	meanWorkMS   = 120.0
	usualLoad    = 0.75 // of the engines' time
	burstTarget  = 2 * time.Second
)

// burst plays entries that share their tables by delayed announcements, before engines with a queue
// each in which teams above their share come last.
type burst struct {
	random    *rand.Rand
	now       time.Time
	entries   [burstEntries]share.Table
	engines   [burstEngines][2]float64 // backlog in ms: of teams below their share, and above
	announced announcements
	delay     time.Duration
	lost      float64

	asked, refused, givenMS [burstTeams + 1]float64 // by team
}

type announcement struct {
	at      time.Time
	entry   int
	work    share.Work
	refused bool
}

type announcements []announcement

func (a announcements) Len() int           { return len(a) }
func (a announcements) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a announcements) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *announcements) Push(x any)        { *a = append(*a, x.(announcement)) }
func (a *announcements) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// teamLoads are the teams' usual parts of the load; the first team has a third.
var teamLoads = func() (loads [burstTeams + 1]float64) {
	sum := 0.0
	for n := 1; n <= burstTeams; n++ {
		loads[n] = math.Pow(float64(n), -1.2)
		sum += loads[n]
	}
	for n := range loads {
		loads[n] *= usualLoad / sum
	}
	return loads
}()

// play lets time pass with one team at a multiple of its usual load.
func (b *burst) play(duration time.Duration, hot int, factor float64) {
	const step = time.Millisecond
	for end := b.now.Add(duration); b.now.Before(end); b.now = b.now.Add(step) {
		b.compute(float64(step) / float64(time.Millisecond))
		b.deliver()
		for team := 1; team <= burstTeams; team++ {
			perMS := teamLoads[team] * burstEngines / meanWorkMS
			if team == hot {
				perMS *= factor
			}
			for n := b.random.Float64(); n < perMS; n++ {
				b.request(share.Team(team))
			}
		}
	}
}

func (b *burst) compute(ms float64) {
	for n := range b.engines {
		e := &b.engines[n]
		done := min(e[0], ms)
		e[0] -= done
		e[1] = max(e[1]-(ms-done), 0)
	}
}

func (b *burst) deliver() {
	for len(b.announced) > 0 && !b.announced[0].at.After(b.now) {
		a := heap.Pop(&b.announced).(announcement)
		b.apply(a.entry, a.at.Add(-b.delay), a.work, a.refused)
	}
}

func (b *burst) apply(entry int, at time.Time, w share.Work, refused bool) {
	if refused {
		b.entries[entry].Refuse(at, w)
		return
	}
	b.entries[entry].Give(at, w)
}

func (b *burst) request(team share.Team) {
	entry := b.random.IntN(burstEntries)
	standing := b.entries[entry].Standing(b.now, pool, team)
	work := meanWorkMS * b.random.ExpFloat64()
	best, wait := 0, math.Inf(1)
	for n, e := range b.engines {
		ms := e[0]
		if standing.Above() {
			ms += e[1]
		}
		if ms < wait {
			best, wait = n, ms
		}
	}
	decision := admission.Decide(admission.Input{
		Choice:   placement.Choice{Long: true, WaitMS: wait, FirstMS: wait + work, PrefillInterferes: true},
		Request:  placement.Request{FirstEventTarget: burstTarget},
		Left:     8 * time.Second,
		Standing: standing,
	})
	_, sent := decision.(admission.Send)
	b.asked[team]++
	w := share.Work{Service: pool, Team: team, MS: work}
	if sent {
		b.givenMS[team] += work
		line := 0
		if standing.Above() {
			line = 1
		}
		b.engines[best][line] += work
	} else {
		b.refused[team]++
	}
	b.apply(entry, b.now, w, !sent)
	for n := range b.entries {
		if n != entry && b.random.Float64() >= b.lost {
			heap.Push(&b.announced, announcement{b.now.Add(b.delay), n, w, !sent})
		}
	}
}

// TestBurstOfOneTeam has one team at a multiple of its usual load among 24, most of them small. The
// others ask for less than their share.
func TestBurstOfOneTeam(t *testing.T) {
	for _, c := range []struct {
		team   int
		factor float64
		delay  time.Duration
		lost   float64
	}{
		{1, 7.5, 20 * time.Millisecond, 0},
		{1, 10, 20 * time.Millisecond, 0},
		{2, 10, 20 * time.Millisecond, 0},
		{2, 10, 300 * time.Millisecond, 0},
		{2, 10, 20 * time.Millisecond, 0.2},
	} {
		t.Run(fmt.Sprintf("team %d at %v, %v late, %v lost", c.team, c.factor, c.delay, c.lost), func(t *testing.T) {
			b := &burst{random: rand.New(rand.NewPCG(6133, 1)), now: start, delay: c.delay, lost: c.lost}
			b.play(5*time.Second, 0, 1)
			b.asked, b.refused, b.givenMS = [burstTeams + 1]float64{}, [burstTeams + 1]float64{}, [burstTeams + 1]float64{}
			b.play(12*time.Second, c.team, c.factor)
			asked, refused, otherLoad := 0.0, 0.0, 0.0
			for team := 1; team <= burstTeams; team++ {
				if team != c.team {
					asked += b.asked[team]
					refused += b.refused[team]
					otherLoad += teamLoads[team]
				}
			}
			got := b.givenMS[c.team] / (burstEngines * 12_000)
			t.Logf("others refused %.2f in 100, the team got %.2f of its share, refused %.0f in 100", 100*refused/asked, got/(1-otherLoad), 100*b.refused[c.team]/b.asked[c.team])
			if refused > asked/100 {
				t.Errorf("%.0f of %.0f requests of the other teams were refused", refused, asked)
			}
			if got < 0.9*(1-otherLoad) {
				t.Errorf("the team got %.2f of the engines' time, its share is %.2f", got, 1-otherLoad)
			}
		})
	}
}
