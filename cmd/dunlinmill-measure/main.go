// Command dunlinmill-measure prints the table that compares placement
// policies in virtual time. The same flags give the same output.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/measure"
	"github.com/dunlinmill/dunlinmill/measure/workload"
)

func main() {
	err := run(os.Args[1:], os.Stdout, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunlinmill-measure:", err)
		os.Exit(1)
	}
}

// everything stands for all names of a flag.
const everything = "all"

const usage = `Usage: dunlinmill-measure [flags]

Compares placement policies in virtual time. Several names are separated by
commas; without a name all users and the policies in use are taken.

Example: dunlinmill-measure --scenario Calm --user Kovacsne --policy Oracle,PlainHash

`

// run parses the flags and prints the table.
func run(args []string, w, stderr io.Writer) error {
	flags := flag.NewFlagSet("dunlinmill-measure", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
		flags.PrintDefaults()
	}
	scenario := flags.String("scenario", "Calm", `scenarios; "all" for all`)
	user := flags.String("user", "", "users")
	policy := flags.String("policy", "", `policies; "all" for earlier versions of ours too`)
	seed := flags.Uint64("seed", 1, "first of the seeds that are pooled in a row")
	format := flags.String("format", string(measure.Text), "text, markdown, or bounds for the lines of bounds.yaml")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("DUNLINMILL_MEASURE")); err != nil {
		return err
	}
	if *scenario == everything {
		*scenario = ""
	}
	inUse := measure.InUse()
	switch *policy {
	case "":
	case everything:
		*policy, inUse = "", measure.Policies()
	default:
		inUse = measure.Policies()
	}
	scenarios, err := named("scenario", *scenario, measure.Scenarios(), func(s measure.Scenario) string { return s.Name })
	if err != nil {
		return err
	}
	users, err := named("user", *user, workload.Users(), func(u workload.User) string { return u.Name })
	if err != nil {
		return err
	}
	policies, err := named("policy", *policy, inUse, func(p measure.Policy) string { return p.Name })
	if err != nil {
		return err
	}
	return measure.Write(w, measure.Table(users, scenarios, policies, *seed), measure.Format(*format))
}

// named picks the items with the names in a list separated by commas; all if
// the list is empty.
func named[T any](what, list string, items []T, name func(T) string) ([]T, error) {
	if list == "" {
		return items, nil
	}
	var picked []T
	for _, want := range strings.Split(list, ",") {
		item, ok := lo.Find(items, func(item T) bool { return name(item) == want })
		if !ok {
			known := lo.Map(items, func(item T, _ int) string { return name(item) })
			return nil, fmt.Errorf("no %s %q; there are %s", what, want, strings.Join(known, ", "))
		}
		picked = append(picked, item)
	}
	return picked, nil
}
