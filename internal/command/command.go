// Package command is the command line of the two programs.
package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Main parses the arguments, runs the command and returns the exit code.
func Main(name string, commands any, arguments []string, out, failures io.Writer) int {
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", commands); err != nil {
		return report(err, out, failures)
	}
	output = out
	_, err := p.ParseArgs(arguments)
	return report(err, out, failures)
}

// output is where commands print.
var output io.Writer = os.Stdout

func report(err error, out, failures io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var f *flags.Error
	if !errors.As(err, &f) {
		_, _ = fmt.Fprintln(failures, "foxcross:", err) // there is nowhere else to say it
		return ExitFailed
	}
	if f.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, f.Message) // there is nowhere else to say it
		return ExitOK
	}
	_, _ = fmt.Fprintln(failures, f.Message) // there is nowhere else to say it
	return ExitUsage
}
