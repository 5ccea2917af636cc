// Command dunlinmill-measure prints the table that compares placement policies in
// virtual time. The same flags give the same output.
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

// allNames is the value of a flag that selects all names.
const allNames = "all"

const usage = `Usage: dunlinmill-measure [flags]

Compares placement policies in virtual time. Several names are separated by
commas. Without names, all users and the policies in use are compared.

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
	scenario := flags.String("scenario", "Calm", `scenarios, or "all"`)
	user := flags.String("user", "", "users")
	policy := flags.String("policy", "", `policies, or "all" to include dunlinmill's earlier ones`)
	seed := flags.Uint64("seed", 1, "first of the seeds that one row pools")
	format := flags.String("format", string(measure.Text), "text, markdown, or bounds for the lines of bounds.yaml")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("DUNLINMILL_MEASURE")); err != nil {
		return err
	}
	if *scenario == allNames {
		*scenario = ""
	}
	candidates := measure.CurrentPolicies()
	switch *policy {
	case "":
	case allNames:
		*policy, candidates = "", measure.Policies()
	default:
		candidates = measure.Policies()
	}
	scenarios, err := selectByName("scenario", *scenario, measure.Scenarios(), func(s measure.Scenario) string { return s.Name })
	if err != nil {
		return err
	}
	users, err := selectByName("user", *user, workload.Users(), func(u workload.User) string { return u.Name })
	if err != nil {
		return err
	}
	policies, err := selectByName("policy", *policy, candidates, func(p measure.Policy) string { return p.Name })
	if err != nil {
		return err
	}
	return measure.Write(w, measure.Table(users, scenarios, policies, *seed), measure.Format(*format))
}

// selectByName returns the items whose names are in a list separated by commas, or
// all items if the list is empty.
func selectByName[T any](flagName, list string, items []T, name func(T) string) ([]T, error) {
	if list == "" {
		return items, nil
	}
	var selected []T
	for _, wanted := range strings.Split(list, ",") {
		item, ok := lo.Find(items, func(item T) bool { return name(item) == wanted })
		if !ok {
			known := lo.Map(items, func(item T, _ int) string { return name(item) })
			return nil, fmt.Errorf("unknown %s %q; known are %s", flagName, wanted, strings.Join(known, ", "))
		}
		selected = append(selected, item)
	}
	return selected, nil
}
