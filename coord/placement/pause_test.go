package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
)

var pauseOrigin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// stepEngine is an engine that makes one token of a stream a step, and computes a piece of the
// prompts that wait in each.
type stepEngine struct {
	stepMS, pieceMS, slowdown float64
	spellShare, spellFactor   float64
	random                    *rand.Rand
	spellUntil, nowMS         float64
	inSpell                   bool
}

// step runs a step with the given ms of prompts waiting, at a slowdown of 1, and returns what is
// left of them.
func (e *stepEngine) step(waitingMS float64) float64 {
	if e.nowMS >= e.spellUntil {
		e.spellUntil = e.nowMS + 600
		e.inSpell = e.random.Float64() < e.spellShare
	}
	piece := min(waitingMS, e.pieceMS)
	ms := (e.stepMS + piece) * e.slowdown
	if e.inSpell {
		ms *= e.spellFactor
	}
	e.nowMS += ms
	return waitingMS - piece
}

// pausedShare returns the share of streams that pause for longer than the target while one busy
// period of the given prefill runs beside them.
func (e *stepEngine) pausedShare(busyMS, targetMS float64, eventTokens int) float64 {
	const streams = 4000
	paused := 0
	for range streams {
		waiting, missed := 0.0, false
		begin := e.random.IntN(eventTokens)
		lastMS := e.nowMS
		for n := 0; n < 4*eventTokens || waiting > 0; n++ {
			if n == begin {
				waiting = busyMS
			}
			waiting = e.step(waiting)
			if n%eventTokens == eventTokens-1 {
				missed = missed || e.nowMS-lastMS > targetMS
				lastMS = e.nowMS
			}
		}
		if missed {
			paused++
		}
	}
	return float64(paused) / streams
}

func TestForeseenPausesMatchASteppedEngine(t *testing.T) {
	const stepMS, pieceMS, eventTokens, targetMS = 5, 30, 5, 250
	for _, slowdown := range []float64{0.7, 1, 1.7} {
		for _, spells := range []struct{ share, factor float64 }{{0, 1}, {0.15, 2.5}} {
			for _, busyMS := range []float64{20, 60, 120, 200, 400, 1200} {
				e := &stepEngine{
					stepMS: stepMS, pieceMS: pieceMS, slowdown: slowdown, spellShare: spells.share, spellFactor: spells.factor, random: rand.New(rand.NewPCG(1, 2)),
				}
				var seen spread
				for range 10_000 {
					before := e.nowMS
					for range eventTokens {
						e.step(0)
					}
					seen.observe((e.nowMS - before) / (eventTokens * stepMS * slowdown))
				}
				shares := seen.shares()
				m := newPauseModel(&shares, stepMS*slowdown, pieceMS*slowdown, eventTokens, targetMS)
				foreseen := m.chance(busyMS*slowdown, 10_000) + m.always
				share := e.pausedShare(busyMS, targetMS, eventTokens)
				if off := foreseen - share; (off > 0.1 || off < -0.1) && (foreseen > 2*share || share > 2*foreseen) {
					t.Errorf("slowdown %.1f, spells %v, %.0f ms of prefill: foreseen %.3f, seen %.3f", slowdown, spells, busyMS, foreseen, share)
				}
			}
		}
	}
}

// pauseTable returns a table of engines of a service that learns their speeds.
func pauseTable(engines int) *Table {
	t := &Table{Self: 1, ReuseWindow: 10 * time.Second}
	t.SetServices([]Service{{Name: "pool", MemoryTokens: 700_000, EventTokens: 5, InterEventTarget: 250 * time.Millisecond, EngineSpeeds: true}})
	t.SetEndpoints(pauseOrigin, pauseEngines(engines))
	return t
}

func pauseEngines(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprint("e-", i), Service: "pool", Slots: 64, Engine: true, Version: "v1", StartedMS: 1})
	}
	return list
}

// strictStream returns a request for an urgent stream, longPrompt one with a long prompt.
func strictStream(n uint64) Request {
	return Request{
		Service: "pool", FirstEventTarget: time.Second, InterEventTarget: 250 * time.Millisecond,
		Prompt: memory.Prompt{Tokens: 1000, LikelyOutputTokens: 170, Parts: []memory.Part{{ID: n, Tokens: 1000}}},
	}
}

func longPrompt(n uint64) Request {
	return Request{
		Service: "pool", FirstEventTarget: 1500 * time.Millisecond, InterEventTarget: time.Second, Priority: 2,
		Prompt: memory.Prompt{Tokens: 12_000, LikelyOutputTokens: 120, Parts: []memory.Part{{ID: n, Tokens: 12_000}}},
	}
}

// teach shows an engine's speed by a stream whose events come slowdown * 20 ms apart, with every
// seventh time in a spell.
func teach(t *Table, e *endpoint, now time.Time, number uint64, slowdown float64, events int) time.Time {
	id := AttemptID{Owner: 1, Number: number}
	t.Place(now, id, e.Incarnation(), strictStream(number), memory.Fetch{})
	baseMS, perTokenMS := t.service("pool").prefill.coefficients()
	now = now.Add(time.Duration((baseMS + 1000*perTokenMS) * slowdown * float64(time.Millisecond)))
	t.FirstEvent(now, id)
	for n := range events {
		factor := 1.0
		if n%7 == 6 {
			factor = 2.5
		}
		now = now.Add(time.Duration(factor * slowdown * 20 * float64(time.Millisecond)))
		t.NextEvent(now, id)
	}
	t.End(now, id, Succeeded)
	return now
}

func teachAll(t *Table, now time.Time, slowdown func(n int) float64) time.Time {
	number := uint64(10_000)
	latest := now
	for range 4 {
		at := latest
		for n, e := range t.endpointsInOrder() {
			number++
			if end := teach(t, e, at, number, slowdown(n), 60).Add(200 * time.Millisecond); end.After(latest) {
				latest = end
			}
		}
	}
	return latest
}

// endpointsInOrder returns the endpoints by the number in their id.
func (t *Table) endpointsInOrder() []*endpoint {
	all := make([]*endpoint, 0, len(t.endpoints))
	for n := range len(t.endpoints) {
		for _, e := range t.endpoints {
			if e.ID == fmt.Sprint("e-", n) {
				all = append(all, e)
			}
		}
	}
	return all
}

// threeSpeeds makes two of four engines fast, one usual and one slow.
func threeSpeeds(n int) float64 { return []float64{0.6, 0.6, 1, 1.7}[n%4] }

func TestDecodingSpeedsAreLearnedApartDespiteSpells(t *testing.T) {
	table := pauseTable(8)
	teachAll(table, pauseOrigin, threeSpeeds)
	s := table.service("pool")
	for n, e := range table.endpointsInOrder() {
		want := threeSpeeds(n) * 4
		if got := s.stepMS(e, 1); got < 0.85*want || got > 1.15*want {
			t.Errorf("%s: a step takes %.2f ms, want %.2f", e.ID, got, want)
		}
	}
}

func TestEngineThatTurnsSlowForGoodIsSlowWithinTenObservations(t *testing.T) {
	var r recent
	now := pauseOrigin
	for range 20 {
		now = now.Add(observationSpacing)
		r.observe(now, 1)
	}
	for n := range 10 {
		now = now.Add(observationSpacing)
		r.observe(now, 3)
		if middle, _ := r.middle(); middle == 3 {
			return
		} else if n < recentObservations/2 && middle != 1 {
			t.Fatalf("%d slow observations move the middle to %v", n+1, middle)
		}
	}
	t.Error("the middle doesn't follow")
}

func TestRestartedEngineHasNoSpeed(t *testing.T) {
	table := pauseTable(4)
	now := teachAll(table, pauseOrigin, threeSpeeds)
	list := pauseEngines(4)
	list[3].StartedMS = 2
	table.SetEndpoints(now, list)
	e := table.endpoints[list[3].Incarnation()]
	if e.slowdown != 1 || e.speed.stepMS > 0 || len(e.streams) > 0 {
		t.Errorf("the new incarnation has the slowdown %.2f", e.slowdown)
	}
}

func TestStrictStreamsAvoidEnginesThatWouldPauseAfterAQuarterIsGone(t *testing.T) {
	const engines = 16
	table := pauseTable(engines)
	now := teachAll(table, pauseOrigin, threeSpeeds)
	random := rand.New(rand.NewPCG(1, 2))
	number := uint64(50_000)
	for gone := range 2 {
		if gone == 1 { // one of the fast engines in four is lost
			var left []Endpoint
			for n, e := range pauseEngines(engines) {
				if n%4 != 0 {
					left = append(left, e)
				}
			}
			table.SetEndpoints(now, left)
		}
		slow, streams := 0, 0
		for n := range 60 {
			now = now.Add(10 * time.Millisecond)
			for _, r := range []Request{longPrompt(number + 1), strictStream(number + 2)} {
				number += 3
				c, ok := table.Choose(now, r, func(string) bool { return false }, random)
				if !ok {
					t.Fatal("no endpoint")
				}
				id := AttemptID{Owner: 1, Number: number}
				table.Place(now, id, c.Endpoint.Incarnation(), r, memory.Fetch{})
				if r.Priority > 0 || n < 20 {
					continue
				}
				var k int
				if _, err := fmt.Sscanf(c.Endpoint.ID, "e-%d", &k); err != nil {
					t.Fatal(err)
				}
				streams++
				if threeSpeeds(k) > 1 {
					slow++
				}
			}
		}
		if slow*8 > streams {
			t.Errorf("%d of %d strict streams are placed at slow engines, of which there are 4 of %d", slow, streams, engines-4*gone)
		}
	}
}

func TestNoPauseIsForeseenWhereNoPromptIsComputed(t *testing.T) {
	table := pauseTable(8)
	now := teachAll(table, pauseOrigin, threeSpeeds).Add(time.Minute)
	c, _ := table.Choose(now, strictStream(1), func(string) bool { return false }, rand.New(rand.NewPCG(1, 2)))
	if c.PauseChance > 0.01 || c.Terms.Interference > 0.01 {
		t.Errorf("a chance of %.3f and an interference of %.3f", c.PauseChance, c.Terms.Interference)
	}
}

func TestPausesAreDormantWhereEnginesAreEven(t *testing.T) {
	for _, c := range []struct {
		slowdown func(n int) float64
		want     bool
	}{{threeSpeeds, true}, {func(int) float64 { return 1 }, false}, {func(n int) float64 { return []float64{1, 1, 1.3}[n%3] }, false}} {
		table := pauseTable(12)
		teachAll(table, pauseOrigin, c.slowdown)
		if got := table.service("pool").foreseesPauses(); got != c.want {
			t.Errorf("foresees pauses: %t, want %t", got, c.want)
		}
	}
}

func TestSpellsOfTheFewEnginesKnownDoNotPassForUnevenness(t *testing.T) {
	table := pauseTable(12)
	s := table.service("pool")
	for n, e := range s.endpoints[:minKnownEngines-1] {
		e.speed.stepMS = 3 * float64(1+n%2)
	}
	s.updateUneven(pauseOrigin)
	if s.steps.uneven {
		t.Errorf("%d known engines pass for uneven", minKnownEngines-1)
	}
}

func TestManyShortPromptsCountAsOneBusyPeriod(t *testing.T) {
	var b busyPeriods
	now := pauseOrigin
	for range 15 {
		b.add(now, 20, 25)
		now = now.Add(20 * time.Millisecond)
	}
	shares := (&spread{}).shares()
	m := newPauseModel(&shares, 8, 52, 5, 250)
	single := m.chance(20, 1000)
	if rate := b.pausesPerSecond(now, 1, 1000, &m); b.count != 1 || rate <= 0 || single != 0 {
		t.Errorf("%d busy periods, %.3f pauses a second, %.3f for one prompt", b.count, rate, single)
	}
}

func TestStreamsWhoseEndIsLostAreForgotten(t *testing.T) {
	table := pauseTable(1)
	id := AttemptID{Owner: 2, Number: 1}
	r := strictStream(1)
	r.TimeLeft = time.Second
	table.Place(pauseOrigin, id, pauseEngines(1)[0].Incarnation(), r, memory.Fetch{})
	table.FirstEvent(pauseOrigin.Add(50*time.Millisecond), id)
	table.Expire(pauseOrigin.Add(time.Minute))
	if e := table.endpointsInOrder()[0]; e.running != 0 || e.streams[0].count != 0 {
		t.Errorf("%d run, %d of them strict", e.running, e.streams[0].count)
	}
}

func TestCalibrationFollowsWhatIsSeenWithinBounds(t *testing.T) {
	var few, many, right, half calibration
	for n := range 1000 {
		few.observe(0.5*few.factor(), false)
		many.observe(0.01*many.factor(), true)
		right.observe(0.25*right.factor(), n%4 == 0)
		half.observe(0.5*half.factor(), n%4 == 0)
	}
	if f := half.factor(); f < 0.45 || f > 0.55 {
		t.Errorf("an estimate of twice the pauses has the factor %.2f", f)
	}
	if few.factor() != minCalibration || many.factor() != maxCalibration {
		t.Errorf("factors %.2f and %.2f", few.factor(), many.factor())
	}
	if f := right.factor(); f < 0.9 || f > 1.1 {
		t.Errorf("a right estimate has the factor %.2f", f)
	}
}

func TestSnapshotCarriesSpeeds(t *testing.T) {
	table := pauseTable(8)
	now := teachAll(table, pauseOrigin, threeSpeeds)
	restored := pauseTable(8)
	restored.Restore(now, table.Snapshot(now))
	for id, e := range table.endpoints {
		if got := restored.endpoints[id]; got.speed.stepMS != e.speed.stepMS || got.slowdown != e.slowdown {
			t.Errorf("%s: %.2f ms a step and a slowdown of %.2f, want %.2f and %.2f", id, got.speed.stepMS, got.slowdown, e.speed.stepMS, e.slowdown)
		}
	}
	older := table.Snapshot(now) // an entry of an earlier version has no such fields
	older.Speeds, older.Steps = nil, nil
	empty := pauseTable(8)
	empty.Restore(now, older)
	if s := empty.service("pool").stepMS(empty.endpointsInOrder()[3], 0); s <= 0 {
		t.Errorf("without speeds a step takes %.2f ms", s)
	}
}

func TestStreamEndedCountsOnlyBegunStreamsWithATarget(t *testing.T) {
	table := pauseTable(1)
	table.service("pool").steps.uneven = true
	engine := pauseEngines(1)[0].Incarnation()
	now := pauseOrigin
	for n, c := range []struct {
		target          time.Duration
		begins          bool
		pause           time.Duration
		missed, counted bool
	}{
		{250 * time.Millisecond, true, 20 * time.Millisecond, false, true},
		{250 * time.Millisecond, true, 300 * time.Millisecond, true, true},
		{250 * time.Millisecond, false, 0, false, false},
		{0, true, 300 * time.Millisecond, false, false},
	} {
		id := AttemptID{Owner: 1, Number: uint64(n)}
		r := strictStream(uint64(n))
		r.InterEventTarget = c.target
		table.Place(now, id, engine, r, memory.Fetch{})
		if c.begins {
			table.FirstEvent(now, id)
			now = now.Add(c.pause)
			table.NextEvent(now, id)
		}
		if missed, counted := table.StreamEnded(id, 0.1); missed != c.missed || counted != c.counted {
			t.Errorf("case %d: missed %t, counted %t", n, missed, counted)
		}
		table.End(now, id, Succeeded)
	}
}
