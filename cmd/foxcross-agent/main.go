// Command foxcross-agent runs beside the endpoints of one instance.
package main

import (
	"os"

	"foxcross.dev/foxcross/internal/command"
)

func main() {
	os.Exit(command.Main("foxcross-agent", &command.Agent{}, os.Args[1:], os.Stdout, os.Stderr))
}
