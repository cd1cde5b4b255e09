package command

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// ParseFlags reads a program's flags into options. It ends the program after
// printing help, or with ExitUsage where a flag is wrong.
func ParseFlags(options any) {
	_, err := flags.Parse(options)
	if err == nil {
		return
	}
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		os.Exit(ExitOK)
	}
	os.Exit(ExitUsage)
}
