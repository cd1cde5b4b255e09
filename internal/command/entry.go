package command

import (
	"io"
	"os"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/explain"
	"foxcross.dev/foxcross/internal/process"
)

// Entry holds the subcommands of foxcross-entry.
type Entry struct {
	Run     RunEntry `command:"run" description:"run an entry"`
	Serve   Serve    `command:"serve" description:"run an entry on a platform, with the settings that the platform gives"`
	Check   Check    `command:"check" description:"check the settings of a process without running it"`
	Explain Explain  `command:"explain" description:"tell from a log what became of a request"`
	Tree    Tree     `command:"tree" description:"read and change the settings tree"`
	Keys    Keys     `command:"keys" description:"make certificates and keys"`
}

// RunEntry runs an entry in relay mode.
type RunEntry struct {
	Settings string `long:"settings" short:"s" required:"yes" description:"file with the entry's settings"`
}

// Execute runs the command.
func (c *RunEntry) Execute([]string) error { return process.RunEntry(c.Settings) }

// Serve runs an entry on a platform, with the settings from the platform.
type Serve struct {
	Platform string `long:"platform" short:"p" required:"yes" description:"name of the platform's driver"`
}

// Execute runs the command.
func (c *Serve) Execute([]string) error { return process.RunGateway(c.Platform) }

// Explain reports from a log how a request was handled.
type Explain struct {
	Log       string `long:"log" short:"l" description:"file with the log of an entry, standard input if none"`
	Arguments struct {
		Request string `positional-arg-name:"ID" required:"yes" description:"id of the request"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *Explain) Execute([]string) error {
	log := io.Reader(os.Stdin)
	if c.Log != "" {
		f, err := os.Open(c.Log)
		if err != nil {
			return result.Errorf(result.FileUnreadable, "%v", err)
		}
		defer func() { _ = f.Close() }() // the file was only read
		log = f
	}
	found, err := explain.Report(output, log, c.Arguments.Request)
	if err == nil && !found {
		err = result.Errorf(result.NotFound, "the log doesn't name request %q", c.Arguments.Request)
	}
	return err
}

// Agent holds the subcommands of foxcross-agent.
type Agent struct {
	Run RunAgent `command:"run" description:"run an agent"`
}

// RunAgent runs an agent.
type RunAgent struct {
	Settings string `long:"settings" short:"s" required:"yes" description:"file with the agent's settings"`
}

// Execute runs the command.
func (c *RunAgent) Execute([]string) error { return process.RunAgent(c.Settings) }
