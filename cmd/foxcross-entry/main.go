// Command foxcross-entry serves callers' requests. Its other subcommands are tools for operators.
package main

import (
	"os"

	"foxcross.dev/foxcross/internal/command"
	_ "foxcross.dev/foxcross/internal/relay/kv/httpkv" // registers its driver
	_ "foxcross.dev/foxcross/platform"                 // registers its driver
)

func main() {
	os.Exit(command.Main("foxcross-entry", &command.Entry{}, os.Args[1:], os.Stdout, os.Stderr))
}
