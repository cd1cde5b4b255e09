package share_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"foxcross.dev/coord/share"
)

const pool = "pool"

var start = time.Unix(1_000_000, 0)

// ask records that a team was given and refused engine time.
func ask(t *share.Table, now time.Time, team share.Team, given, refused float64) {
	t.Give(now, share.Work{Service: pool, Team: team, MS: given})
	t.Refuse(now, share.Work{Service: pool, Team: team, MS: refused})
}

func expectStanding(t *testing.T, table *share.Table, now time.Time, team share.Team, want float64) {
	t.Helper()
	if got := float64(table.Standing(now, pool, team)); math.Abs(got-want) > 0.01 {
		t.Errorf("team %d: standing %.3f, want %.3f", team, got, want)
	}
}

// TestStandingFollowsMaxMinShares has a small team that gets all it asks for, and two that ask for
// more than the rest.
func TestStandingFollowsMaxMinShares(t *testing.T) {
	var table share.Table
	ask(&table, start, 1, 100, 0)
	ask(&table, start, 2, 200, 800)
	ask(&table, start, 3, 600, 3000)
	expectStanding(t, &table, start, 1, 0.25) // of the level (900-100)/2
	expectStanding(t, &table, start, 2, 0.5)
	expectStanding(t, &table, start, 3, 1.5)
	later := start.Add(time.Second)
	table.Refuse(later, share.Work{Service: pool, Team: 3, MS: 500})
	expectStanding(t, &table, later, 3, 1.5) // all decay alike
}

func TestStandingFollowsWeights(t *testing.T) {
	var table share.Table
	table.SetWeights(map[share.Team]int{3: 3})
	ask(&table, start, 2, 400, 1000)
	ask(&table, start, 3, 400, 1000)
	expectStanding(t, &table, start, 2, 2)
	expectStanding(t, &table, start, 3, 2.0/3)
	table.SetWeights(nil)
	expectStanding(t, &table, start, 2, 1)
}

// TestUnusedRoomGoesToWhoeverAsks has a single team refused: it is not above its share.
func TestUnusedRoomGoesToWhoeverAsks(t *testing.T) {
	var table share.Table
	ask(&table, start, 1, 10, 0)
	ask(&table, start, 2, 2000, 500)
	expectStanding(t, &table, start, 2, 1)
}

func TestNoStandingWithoutContention(t *testing.T) {
	var table share.Table
	table.Give(start, share.Work{Service: pool, Team: 1, MS: 10})
	table.Give(start, share.Work{Service: pool, Team: 2, MS: 10_000})
	expectStanding(t, &table, start, 2, 0)
	if s := table.States(start); s[0].Contended || s[0].Above != 0 {
		t.Errorf("got %+v", s)
	}
}

func TestOneRefusalAtAnIdleServiceIsNoContention(t *testing.T) {
	var table share.Table
	ask(&table, start, 1, 10, 80)
	expectStanding(t, &table, start, 1, 0)
}

// TestContentionDoesNotFlapAtItsEdge has a late share that moves around contentionStart.
func TestContentionDoesNotFlapAtItsEdge(t *testing.T) {
	var table share.Table
	changes, before := 0, false
	for n := range 2000 {
		now := start.Add(time.Duration(n) * 10 * time.Millisecond)
		late := 5.0 + 1.5*math.Sin(float64(n)/40)
		ask(&table, now, 1, 100-late, late)
		if contended := table.States(now)[0].Contended; contended != before {
			changes++
			before = contended
		}
	}
	if changes != 1 || !before {
		t.Errorf("%d changes, contended at the end: %v", changes, before)
	}
	for n := range 300 {
		table.Give(start.Add(20*time.Second+time.Duration(n)*10*time.Millisecond), share.Work{Service: pool, Team: 1, MS: 100})
	}
	if table.States(start.Add(23 * time.Second))[0].Contended {
		t.Error("contended without late requests")
	}
}

func TestEntryThatHasJustStartedTreatsAllAlike(t *testing.T) {
	table := share.Table{StartedAt: start}
	for n := range 40 {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		ask(&table, now, 1, 10, 100)
		ask(&table, now, 2, 100, 100)
		above := table.Standing(now, pool, 2).Above()
		if known := now.Sub(start) >= 3*time.Second; above != known {
			t.Errorf("after %v: above its share: %v", now.Sub(start), above)
		}
	}
}

// TestEntryOutOfTouchSharesByItsOwnRequests has the updates of other entries, in which team 2 was
// above its share, end.
func TestEntryOutOfTouchSharesByItsOwnRequests(t *testing.T) {
	var table share.Table
	ask(&table, start, 1, 100, 900)
	ask(&table, start, 2, 9000, 9000)
	if !table.Standing(start, pool, 2).Above() {
		t.Error("not above its share")
	}
	for n := range 200 {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		ask(&table, now, 1, 20, 10)
		ask(&table, now, 2, 10, 10)
	}
	end := start.Add(20 * time.Second)
	if !table.Standing(end, pool, 1).Above() || table.Standing(end, pool, 2).Above() {
		t.Error("the standings are not those of the own requests")
	}
}

// TestLostUpdateDecays has one of two tables miss an update.
func TestLostUpdateDecays(t *testing.T) {
	var whole, lossy share.Table
	ask(&whole, start, 1, 3000, 0)
	for n := range 150 {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		for _, table := range []*share.Table{&whole, &lossy} {
			ask(table, now, 1, 20, 20)
			ask(table, now, 2, 20, 20)
		}
	}
	end := start.Add(15 * time.Second)
	expectStanding(t, &lossy, end, 1, 1)
	if got := float64(whole.Standing(end, pool, 1)); math.Abs(got-1) > 0.05 {
		t.Errorf("the update still counts %.3f", got)
	}
}

func TestLateUpdateCountsByItsAge(t *testing.T) {
	var table, inTime share.Table
	ask(&inTime, start, 1, 500, 500)
	ask(&inTime, start.Add(time.Second), 2, 500, 500)
	ask(&table, start.Add(time.Second), 2, 500, 500)
	ask(&table, start, 1, 500, 500)
	end := start.Add(time.Second)
	expectStanding(t, &table, end, 1, float64(inTime.Standing(end, pool, 1)))
}

// TestRequestsWithoutTeamHaveNoStanding covers entries of earlier builds, which announce no team.
func TestRequestsWithoutTeamHaveNoStanding(t *testing.T) {
	var table share.Table
	ask(&table, start, 0, 5000, 5000)
	ask(&table, start, 1, 100, 100)
	ask(&table, start, 2, 300, 300)
	expectStanding(t, &table, start, 0, 0)
	expectStanding(t, &table, start, 1, 0.5)
	expectStanding(t, &table, start, 2, 1.5)
}

// TestGeneralShortageTreatsAllAlike has one, then most of 24 teams ask for more than their share.
func TestGeneralShortageTreatsAllAlike(t *testing.T) {
	var table share.Table
	for n := range 24 {
		table.Give(start, share.Work{Service: pool, Team: share.Team(n + 1), MS: float64(100 * (n + 1))})
	}
	table.Refuse(start, share.Work{Service: pool, Team: 24, MS: 5000})
	expectStanding(t, &table, start, 24, 1)
	later := start.Add(time.Second)
	for n := range 24 {
		table.Refuse(later, share.Work{Service: pool, Team: share.Team(n + 1), MS: 5000})
	}
	expectStanding(t, &table, later, 24, 0)
	if s := table.States(later)[0]; !s.General || !s.Contended {
		t.Errorf("got %+v", s)
	}
}

func TestIdleTeamsAreRemoved(t *testing.T) {
	var table share.Table
	for n := range 1000 {
		ask(&table, start, share.Team(n+1), 1, 1)
	}
	end := start.Add(16 * time.Second)
	ask(&table, end, 1, 1000, 1000)
	if s := table.States(end)[0]; s.Teams != 1 {
		t.Errorf("%d teams", s.Teams)
	}
}

func TestTeamsAreBounded(t *testing.T) {
	var table share.Table
	for n := range 70_000 {
		ask(&table, start, share.Team(n+1), 1, 1)
	}
	if s := table.States(start)[0]; s.Teams != 1<<16 {
		t.Errorf("%d teams", s.Teams)
	}
	expectStanding(t, &table, start, 69_999, 0)
}

func TestTeamOf(t *testing.T) {
	if share.TeamOf("") != 0 || share.TeamOf("a") == 0 || share.TeamOf("a") == share.TeamOf("b") {
		t.Error("hashes don't tell teams apart")
	}
}

// A team that is given more than its share stands above 1 while others are refused.
func ExampleTable_Standing() {
	now := time.Unix(0, 0)
	var table share.Table
	table.Give(now, share.Work{Service: "pool", Team: share.TeamOf("large"), MS: 900})
	table.Give(now, share.Work{Service: "pool", Team: share.TeamOf("small"), MS: 100})
	table.Refuse(now, share.Work{Service: "pool", Team: share.TeamOf("small"), MS: 900})
	fmt.Println(table.Standing(now, "pool", share.TeamOf("large")))
	fmt.Println(table.Standing(now, "pool", share.TeamOf("small")))
	// Output:
	// 1.8
	// 0.2
}

// BenchmarkRequest measures the work for one request at a contended service: its standing and its
// engine time. The level of 40,000 teams is computed five times a second.
func BenchmarkRequest(b *testing.B) {
	for _, teams := range []int{24, 40_000} {
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			var table share.Table
			now := start
			request := func(n int) {
				now = now.Add(time.Second / 22_000)
				team := share.Team(n*n%teams + 1)
				table.Standing(now, pool, team)
				ask(&table, now, team, 10, 5)
			}
			for n := range 4 * teams {
				request(n)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				request(n)
			}
		})
	}
}
