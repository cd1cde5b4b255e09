// Command spread reads the logs of entries and prints the time until they learned of
// events: settings, endpoints that leave, evacuations and lost entries.
//
//	go run ./examples/spread < all.log
package main

import (
	"fmt"
	"os"

	"foxcross.dev/foxcross/internal/direct/spread"
)

func main() {
	rows, err := spread.Read(os.Stdin)
	if err == nil {
		err = spread.Write(os.Stdout, rows)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
