// Command local runs the deployments of both users in one process, with stand-ins on
// loopback, sends a mix of requests and prints the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/testing/flags"
)

const setupTimeout = 20 * time.Second

// options are the command-line flags.
type options struct {
	Stay     bool          `long:"stay" description:"keep everything up after the run and print commands to try"`
	Duration time.Duration `long:"duration" default:"6s" description:"how long requests are sent"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the mix"`
	Level    string        `long:"log-level" default:"warn" description:"debug, info, warn or error"`
}

func main() {
	var o options
	flags.Parse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "local:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if err := logs.Setup(os.Stderr, "text", o.Level); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var all []*user
	for _, d := range users() {
		setup, cancel := context.WithTimeout(ctx, setupTimeout)
		err := d.start(setup)
		cancel()
		if err != nil {
			return err
		}
		defer d.fleet.Close()
		all = append(all, d)
	}
	broken := 0
	for _, d := range all {
		broken += d.measure(ctx, o)
	}
	if o.Stay {
		keepRunning(ctx, all)
	}
	if broken > 0 {
		return fmt.Errorf("%d promises were broken", broken)
	}
	return nil
}

// keepRunning prints commands and waits for an interrupt.
func keepRunning(ctx context.Context, all []*user) {
	fmt.Println("Still up. Try:")
	for _, d := range all {
		for _, line := range d.exampleCommands() {
			fmt.Println("  " + line)
		}
	}
	fmt.Println("End with Ctrl-C.")
	<-ctx.Done()
}
