// Command growth prints the time until settings are active at all entries, by the size of the
// settings and the links, processors and number of the entries, as the table of docs/CAPACITY.md:
//
//	go run ./examples/growth
//	go run ./examples/growth --teams --grown 0.1
//
// Processor times are measured on this machine, without other load. Links are simulated.
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

// Sizes of the settings, links (10^6 bits a second), processors (fractions of a core) and numbers
// of entries.
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
			formatKilobytes(c.StoreBytes), formatKilobytes(c.PeerBytes), formatKilobytes(c.PlainBytes),
			formatSeconds(c.Read), formatSeconds(c.Encode), formatSeconds(c.Apply), formatKilobytes(c.Heap))
	}
	fmt.Printf("\n| %s | link | core | floor |", kind)
	for _, n := range entries {
		fmt.Printf(" %d entries |", n)
	}
	fmt.Println("\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range sizes {
		for _, link := range links {
			for _, processor := range processors {
				printRow(size, costs[size], growth.Fleet{LinkMbps: link, Processor: processor})
			}
		}
	}
	return nil
}

// printRow prints the times by the present rule and, in parentheses, by the former rule.
func printRow(size int, c growth.Cost, f growth.Fleet) {
	fmt.Printf("| %d | %g | %g | %s |", size, f.LinkMbps, f.Processor, formatSeconds(f.Floor(c)))
	for _, n := range entries {
		f.Entries = n
		former := "never"
		if t, ok := growth.FormerSpread(c, f); ok {
			former = formatSeconds(t)
		}
		fmt.Printf(" %s (%s) |", formatSeconds(growth.Spread(c, f)), former)
	}
	fmt.Println()
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }

func formatKilobytes(bytes int) string { return fmt.Sprintf("%.1f KB", float64(bytes)/1000) }
