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

// clocksPage lists each use of a clock or timer that does not include the time of a suspension.
const clocksPage = "../docs/design/clocks.md"

// clockUsePattern matches such a use. Timers and deadlines of package steady do not match.
var clockUsePattern = regexp.MustCompile(`\b(time\.(?:Now|Since|Until|AfterFunc|NewTimer|NewTicker|After|Tick|Sleep)|context\.With(?:Timeout|Deadline)(?:Cause)?|Set(?:Read|Write)?Deadline)\(`)

// dueTimerPattern matches a timer that is due when it is set.
var dueTimerPattern = regexp.MustCompile(`\b(?:NewTimer|Reset|AfterFunc)\(0[,)]`)

// filesWithTickers are files whose code never runs in virtual time and may use tickers.
var filesWithTickers = []string{"direct/peers/group.go", "process/reload.go", "steady/steady.go", "testing/soak/usage.go", "testing/soak/soak.go"}

// TestNoTickerInVirtualTime guards against tickers that fall due during other work (TestEveryOfLongWork).
func TestNoTickerInVirtualTime(t *testing.T) {
	err := filepath.WalkDir(".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") {
			return err
		}
		data, err := os.ReadFile(name)
		if strings.Contains(string(data), "time.NewTicker(") && !slices.Contains(filesWithTickers, filepath.ToSlash(name)) {
			t.Errorf("%s has a ticker; workers.Every needs none", name)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestNoTimerIsDueWhenSet checks that no code sets a timer that is due at once: in virtual time, under
// the race detector, two of them at the same time end the test (TestSleepOfNoTime in
// internal/workers).
func TestNoTimerIsDueWhenSet(t *testing.T) {
	err := filepath.WalkDir(".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") {
			return err
		}
		data, err := os.ReadFile(name)
		if use := dueTimerPattern.Find(data); use != nil {
			t.Errorf("%s: %s", name, use)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestClocks checks that the page explains each use of a clock that stops while a machine is
// suspended, and that it lists no use that does not exist.
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
			if isBelow(file, "internal/testing") || isBelow(file, "internal/command") {
				return nil
			}
			data, err := os.ReadFile(name)
			for _, m := range clockUsePattern.FindAllStringSubmatch(string(data), -1) {
				row := fmt.Sprint(file, " ", m[1])
				if _, ok := rows[row]; !ok {
					t.Errorf("%s uses %s: use package steady, or explain in %s why not", file, m[1], clocksPage)
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
			t.Errorf("%s: %s is no longer used", clocksPage, row)
		}
	}
}
