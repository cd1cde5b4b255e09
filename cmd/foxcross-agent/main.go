// Command foxcross-agent runs on one instance and passes requests from entries to its endpoints.
package main

import (
	"os"

	"foxcross.dev/foxcross/internal/command"
)

func main() {
	os.Exit(command.Main("foxcross-agent", &command.Agent{}, os.Args[1:], os.Stdout, os.Stderr))
}
