package internal_test

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// clocksPage lists each use of a clock or timer that does not count a suspension.
const clocksPage = "../docs/design/clocks.md"

// clockUse is such a use. Timers and deadlines of package steady are none.
var clockUse = regexp.MustCompile(`\b(time\.(?:Now|Since|Until|AfterFunc|NewTimer|NewTicker|After|Tick|Sleep)|context\.With(?:Timeout|Deadline)(?:Cause)?|Set(?:Read|Write)?Deadline)\(`)

// dueTimer is a timer that is due when it is set.
var dueTimer = regexp.MustCompile(`\b(?:NewTimer|Reset|AfterFunc)\(0[,)]`)

// tickersAllowed are files of what never runs in virtual time.
var tickersAllowed = []string{"direct/peers/group.go", "process/reload.go", "steady/steady.go", "testing/soak/usage.go", "testing/soak/soak.go"}

// TestNoTickerInVirtualTime guards against tickers that fall due beside other work (TestEveryOfLongWork).
func TestNoTickerInVirtualTime(t *testing.T) {
	err := filepath.WalkDir(".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") {
			return err
		}
		data, err := os.ReadFile(name)
		if strings.Contains(string(data), "time.NewTicker(") && !slices.Contains(tickersAllowed, filepath.ToSlash(name)) {
			t.Errorf("%s has a ticker; workers.Every needs none", name)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestNoTimerIsDueWhenSet holds that nothing sets a timer that is due at once: in virtual time, under
// the race detector, two of them in the same moment end the test (TestSleepOfNoTime in
// internal/workers).
func TestNoTimerIsDueWhenSet(t *testing.T) {
	err := filepath.WalkDir(".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") {
			return err
		}
		data, err := os.ReadFile(name)
		if use := dueTimer.Find(data); use != nil {
			t.Errorf("%s: %s", name, use)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestClocks holds that each use of a clock that stands still while a machine is suspended is
// decided on the page, and that the page names none that is gone.
func TestClocks(t *testing.T) {
	page, err := os.ReadFile(clocksPage)
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\| `([^`]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		rows[m[1]+" "+m[2]] = false
	}
	for _, folder := range []string{"../internal", "../platform"} {
		err := filepath.WalkDir(folder, func(name string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || filepath.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") {
				return err
			}
			file := strings.TrimPrefix(filepath.ToSlash(name), "../")
			if below(file, "internal/testing") || below(file, "internal/command") {
				return nil
			}
			data, err := os.ReadFile(name)
			for _, m := range clockUse.FindAllStringSubmatch(string(data), -1) {
				row := fmt.Sprint(file, " ", m[1])
				if _, ok := rows[row]; !ok {
					t.Errorf("%s uses %s: take it from package steady, or say in %s why not", file, m[1], clocksPage)
				}
				rows[row] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for row, used := range rows {
		if !used {
			t.Errorf("%s: %s is not used any more", clocksPage, row)
		}
	}
}
