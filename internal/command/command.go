// Package command implements the command lines of the two programs.
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

// Main parses the arguments, runs the command and returns the exit code. commands is the struct of
// the subcommands.
func Main(name string, commands any, arguments []string, stdout, stderr io.Writer) int {
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", commands); err != nil {
		return report(err, stdout, stderr)
	}
	output = stdout
	_, err := p.ParseArgs(arguments)
	return report(err, stdout, stderr)
}

// output receives the output of commands.
var output io.Writer = os.Stdout

func report(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var f *flags.Error
	if !errors.As(err, &f) {
		_, _ = fmt.Fprintln(stderr, "foxcross:", err) // a write error can't be reported
		return ExitFailed
	}
	if f.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, f.Message) // a write error can't be reported
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, f.Message) // a write error can't be reported
	return ExitUsage
}
