// Command dunlinmill-capacity measures the costs of each role and prints the tables
// of docs/CAPACITY.md.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3"

	"github.com/dunlinmill/dunlinmill/capacity"
)

func main() {
	err := run(os.Args[1:], os.Stdout, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunlinmill-capacity:", err)
		os.Exit(1)
	}
}

const usage = `Usage: dunlinmill-capacity [flags]

Measures the slopes behind docs/CAPACITY.md with the packages of this
repository, and prints the page's tables as markdown. It takes about a minute
and a half, and opens ports only on the loopback interface.

Example: dunlinmill-capacity --quick

`

// run parses the flags, measures and prints the tables.
func run(args []string, w, stderr io.Writer) error {
	flags := flag.NewFlagSet("dunlinmill-capacity", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
		flags.PrintDefaults()
	}
	quick := flags.Bool("quick", false, "measure each point once")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("DUNLINMILL_CAPACITY")); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	slopes, err := capacity.Measure(capacity.Config{Quick: *quick}, func(area string) {
		fmt.Fprintln(stderr, "measuring", area)
	})
	if err != nil {
		return err
	}
	return capacity.Write(w, slopes)
}
