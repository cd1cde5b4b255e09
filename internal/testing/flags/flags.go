// Package flags reads the flags of the example programs.
package flags

import (
	"errors"
	"os"

	"foxcross.dev/foxcross/internal/command"

	"github.com/jessevdk/go-flags"
)

// Parse reads a program's flags into options. It exits after printing help, or with
// command.ExitUsage if a flag is invalid.
func Parse(options any) {
	_, err := flags.Parse(options)
	if err == nil {
		return
	}
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		os.Exit(command.ExitOK)
	}
	os.Exit(command.ExitUsage)
}
