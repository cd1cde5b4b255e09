// Command soak runs entries as separate processes under random faults and checks the
// promises:
//
//	go build -o bin/ ./cmd/foxcross-entry
//	go run ./examples/soak --entry bin/foxcross-entry --seed 1 --seeds 20
//
// It ends with status 1 if a promise was broken.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"foxcross.dev/foxcross/internal/testing/flags"
	"foxcross.dev/foxcross/internal/testing/soak"
)

type options struct {
	Entry     string        `long:"entry" required:"true" description:"the program of an entry"`
	Former    string        `long:"former" description:"the program of a former version, which every other entry runs"`
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds     uint64        `long:"seeds" default:"1" description:"runs, each with the next seed"`
	Duration  time.Duration `long:"duration" default:"10s" description:"how long faults strike in each run"`
	Entries   int           `long:"entries" default:"3" description:"entries, at most 200"`
	Endpoints int           `long:"endpoints" default:"4" description:"endpoints"`
	Callers   int           `long:"callers" default:"8" description:"callers at once"`
	Only      []string      `long:"only" description:"name of a fault that may strike, may be given often (default: all)"`
	Planned   bool          `long:"planned" description:"only planned work strikes"`
	Deadly    int           `long:"deadly-parts" description:"parts of prompts that crash each endpoint that begins to write on them"`
	Crashing  bool          `long:"crashing" description:"a caller comes back with a request that crashes each endpoint that runs it"`
	Pause     time.Duration `long:"pause" description:"pause before each event of a stream (default: 5 ms)"`
	Slow      int           `long:"slow" description:"callers that do not read their answers, or whose bodies do not end"`
	Folder    string        `long:"folder" description:"where logs are kept (default: a temporary folder)"`
}

// maxEntries bounds the number of processes, which take about 5 GB at 25 MB each.
const maxEntries = 200

func main() {
	var o options
	flags.Parse(&o)
	broken, err := runSeeds(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if broken {
		os.Exit(1)
	}
}

// runSeeds runs all seeds and reports whether a promise was broken.
func runSeeds(o options) (broken bool, err error) {
	if o.Entries < 1 || o.Entries > maxEntries {
		return false, fmt.Errorf("soak: --entries is from 1 to %d", maxEntries)
	}
	program, err := filepath.Abs(o.Entry)
	if err != nil {
		return false, fmt.Errorf("soak: %w", err)
	}
	folder := o.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "soak-"); err != nil {
			return false, fmt.Errorf("soak: %w", err)
		}
	}
	for n := range o.Seeds {
		r, err := runSeed(o, program, folder, o.Seed+n)
		if err != nil {
			return broken, err
		}
		broken = broken || len(r.Violations) > 0
	}
	fmt.Printf("logs of the entries: %s\n", folder)
	return broken, nil
}

// entryProgram returns the program that runs the entry with a settings file.
func (o options) entryProgram(settings, program string) string {
	name := strings.TrimSuffix(filepath.Base(settings), ".json")
	if o.Former != "" && strings.ContainsAny(name[len(name)-1:], "02468") {
		return o.Former
	}
	return program
}

// runSeed runs one seed and prints its results.
func runSeed(o options, program, folder string, seed uint64) (soak.Report, error) {
	only := o.Only
	if o.Planned {
		only = soak.Planned()
	}
	seedFolder := filepath.Join(folder, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(seedFolder, 0o700); err != nil {
		return soak.Report{}, fmt.Errorf("soak: %w", err)
	}
	r, err := soak.Run(context.Background(), soak.Options{
		Seed: seed, Duration: o.Duration, Entries: o.Entries, Endpoints: o.Endpoints, Callers: o.Callers, Dir: seedFolder, Only: only, Crashing: o.Crashing, DeadlyParts: o.Deadly, SlowCallers: o.Slow, EventPause: o.Pause,
		Command: func(settings string) *exec.Cmd {
			c := exec.Command(o.entryProgram(settings, program), "serve", "--platform", "fleet")
			c.Env = append(os.Environ(), "FOXCROSS_CONFIG="+settings)
			return c
		},
	})
	if err != nil {
		return r, fmt.Errorf("seed %d: %w", seed, err)
	}
	faults := 0
	for _, n := range r.Faults {
		faults += n
	}
	fmt.Printf("seed %d: %d requests, %d fetches, %d reports of usage, %d faults, %d crashes under a request, %d returned, %d continued, %d of %d resumed, %d MB, %d promises broken;", seed, r.Requests, r.Fetches, r.Reports, faults, r.Crashed, r.Returned, r.Continued, r.Resumed, r.Resumed+r.Refused, r.MemoryMB, len(r.Violations))
	for _, status := range slices.Sorted(maps.Keys(r.Answers)) {
		fmt.Printf(" %d: %d", status, r.Answers[status])
	}
	fmt.Println()
	for _, b := range r.Violations {
		fmt.Printf("  %s: request %s: %s\n", b.Promise, b.ID, b.Detail)
	}
	return r, nil
}
