// Command losses prints the causes by which a played day lost score. It reads the
// player's report and its output, which includes the logs of all entries.
package main

import (
	"fmt"
	"os"

	"foxcross.dev/foxcross/platform/losses"

	"github.com/jessevdk/go-flags"
)

// options are the command-line flags.
type options struct {
	Report string `long:"report" required:"true" description:"report of the played day, JSON"`
	Log    string `long:"log" required:"true" description:"the player's output with the logs of all entries"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // the library has printed the reason
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run prints the table.
func run(o options) error {
	file, err := os.Open(o.Report)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // only read
	report, err := losses.ReadReport(file)
	if err != nil {
		return err
	}
	log, err := os.Open(o.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // only read
	rows, err := losses.Table(report, log)
	if err != nil {
		return err
	}
	return losses.Write(os.Stdout, rows)
}
