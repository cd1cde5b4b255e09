// Command growth prints how long settings take to be in force at all entries, by their
// size and the entries' links, processors and number, as the table of docs/CAPACITY.md:
//
//	go run ./examples/growth
//	go run ./examples/growth --teams --grown 0.1
//
// Times of a processor are measured on this machine, beside nothing else; links are
// simulated.
package main

import (
	"fmt"
	"os"
	"time"

	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/testing/flags"
	"foxcross.dev/foxcross/internal/testing/growth"
)

type options struct {
	Teams bool    `long:"teams" description:"the settings grow by teams with a key each, in place of routes"`
	Grown float64 `long:"grown" default:"1" description:"share of them that the version adds; at 1 entries have none before"`
}

// The sizes, links (10^6 bits a second), processors (of a core) and numbers of entries.
var (
	sizes      = []int{10, 100, 1_000, 3_000, 10_000}
	links      = []float64{10, 50, 200}
	processors = []float64{0.1, 0.3, 1}
	entries    = []int{20, 60, 100, 300}
)

func main() {
	var o options
	flags.Parse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	if err := logs.Setup(os.Stderr, "text", "error"); err != nil {
		return err
	}
	kind := growth.Routes
	if o.Teams {
		kind = growth.Teams
	}
	fmt.Printf("| %s | from the store | between entries | before, plain | read | encode | take | memory |\n", kind)
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	costs := map[int]growth.Cost{}
	for _, size := range sizes {
		c, err := growth.Measure(kind, int(float64(size)*(1-o.Grown)), size)
		if err != nil {
			return err
		}
		costs[size] = c
		fmt.Printf("| %d | %s | %s | %s | %s | %s | %s | %s |\n", size,
			kilobytes(c.StoreBytes), kilobytes(c.PeerBytes), kilobytes(c.PlainBytes),
			shown(c.Read), shown(c.Encode), shown(c.Take), kilobytes(c.Heap))
	}
	fmt.Printf("\n| %s | link | core | floor |", kind)
	for _, n := range entries {
		fmt.Printf(" %d entries |", n)
	}
	fmt.Println("\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range sizes {
		for _, link := range links {
			for _, processor := range processors {
				row(size, costs[size], growth.Fleet{LinkMbps: link, Processor: processor})
			}
		}
	}
	return nil
}

// row prints the time after the change and, behind it, of the former rule.
func row(size int, c growth.Cost, f growth.Fleet) {
	fmt.Printf("| %d | %g | %g | %s |", size, f.LinkMbps, f.Processor, shown(f.Floor(c)))
	for _, n := range entries {
		f.Entries = n
		before := "never"
		if t, ok := growth.FormerSpread(c, f); ok {
			before = shown(t)
		}
		fmt.Printf(" %s (%s) |", shown(growth.Spread(c, f)), before)
	}
	fmt.Println()
}

func shown(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }

func kilobytes(bytes int) string { return fmt.Sprintf("%.1f KB", float64(bytes)/1000) }
