package command

import (
	"encoding/json"
	"fmt"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/relay/config"
)

// Check reads the settings of a process and prints the result, or reports what is
// wrong.
type Check struct {
	Settings string `long:"settings" short:"s" description:"file with the settings of an entry of the own interface"`
	Platform string `long:"platform" short:"p" description:"name of a platform's driver, whose file the environment names"`
}

// Execute runs the command.
func (c *Check) Execute([]string) error {
	switch {
	case (c.Settings == "") == (c.Platform == ""):
		return result.Errorf(result.BadRequest, "one of --settings and --platform is wanted")
	case c.Settings != "":
		settings, err := config.ReadEntry(c.Settings)
		return printChecked(settings, err)
	default:
		factory, err := driver.Drivers.Get(c.Platform)
		if err != nil {
			return err
		}
		settings, err := factory().Process()
		return printChecked(settings, err)
	}
}

// printChecked prints settings that were read without an error.
func printChecked(settings any, err error) error {
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return fmt.Errorf("command: %w", err)
	}
	_, err = fmt.Fprintf(output, "%s\n", data)
	return err
}
