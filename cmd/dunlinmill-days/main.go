// Command dunlinmill-days plays days of a deployment with several seeds and prints
// one table: what the days were worth, and the gains and costs behind it.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"

	"github.com/peterbourgon/ff/v3"

	"github.com/dunlinmill/dunlinmill/measure/days"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunlinmill-days:", err)
		os.Exit(1)
	}
}

const usage = `Usage: dunlinmill-days --player PROGRAM --site FILE [flags]

Plays days of a deployment in the current directory, each with several seeds, and
prints what they were worth. The player writes its own record of each play.

Example: dunlinmill-days --player bin/player --site sites/a.toml --days trouble-1,scale-1 --seeds 5

`

// run parses the flags, plays the days and prints the table.
func run(ctx context.Context, args []string, w, stderr io.Writer) error {
	flags := flag.NewFlagSet("dunlinmill-days", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
		flags.PrintDefaults()
	}
	plan := days.Plan{}
	flags.StringVar(&plan.Player, "player", "", "path of the program that plays days")
	flags.StringVar(&plan.Site, "site", "", "path of the deployment's file")
	flags.IntVar(&plan.Jobs, "jobs", 4, "number of plays at a time")
	flags.BoolVar(&plan.ChargeCPU, "charge", false, "count the processor time of dunlinmill's code; results then differ between runs")
	flags.StringVar(&plan.Purpose, "why", "", "purpose of the run, for the player's record")
	names := flags.String("days", "trouble-1,scale-1,trouble-2,scale-2,trouble-3", "days to play, separated by commas")
	seeds := flags.Uint64("seeds", 5, "number of seeds")
	first := flags.Uint64("first", 1, "first seed")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("DUNLINMILL_DAYS")); err != nil {
		return err
	}
	plan.Days = strings.Split(*names, ",")
	for i := range *seeds {
		plan.Seeds = append(plan.Seeds, *first+i)
	}
	reports, err := days.Play(ctx, plan)
	if err != nil {
		return err
	}
	return days.WriteTable(w, reports)
}
