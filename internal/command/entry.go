package command

import "foxcross.dev/foxcross/internal/process"

// Entry are the subcommands of foxcross-entry.
type Entry struct {
	Run   RunEntry `command:"run" description:"run an entry"`
	Serve Serve    `command:"serve" description:"run an entry on a platform, with the settings that the platform gives"`
	Tree  Tree     `command:"tree" description:"read and change the settings tree"`
	Keys  Keys     `command:"keys" description:"make certificates and keys"`
}

// RunEntry runs an entry.
type RunEntry struct {
	Settings string `long:"settings" short:"s" required:"yes" description:"file with the entry's settings"`
}

// Execute runs the command.
func (c *RunEntry) Execute([]string) error { return process.RunEntry(c.Settings) }

// Serve runs an entry on a platform.
type Serve struct {
	Platform string `long:"platform" short:"p" required:"yes" description:"name of the platform's driver"`
}

// Execute runs the command.
func (c *Serve) Execute([]string) error { return process.RunGateway(c.Platform) }

// Agent are the subcommands of foxcross-agent.
type Agent struct {
	Run RunAgent `command:"run" description:"run an agent"`
}

// RunAgent runs an agent.
type RunAgent struct {
	Settings string `long:"settings" short:"s" required:"yes" description:"file with the agent's settings"`
}

// Execute runs the command.
func (c *RunAgent) Execute([]string) error { return process.RunAgent(c.Settings) }
