// Command dunlinmill-platform runs a node on the users' platform, which gives the
// path of the settings file in the environment.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/dunlinmill/dunlinmill/platform"
)

func main() {
	if err := platform.Run(context.Background(), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "dunlinmill-platform:", err)
		os.Exit(1)
	}
}
