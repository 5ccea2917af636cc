// Package deployment reads the file in which operators describe a whole
// deployment: its models, upstreams, workspaces and operators. They state
// it as an intent; a node may hold one as its last known configuration.
package deployment

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/dunlinmill/dunlinmill/process/document"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// deployment is the form of the file. Each object stands under its name.
type deployment struct {
	Models     map[string]config.Model
	Upstreams  map[string]config.Upstream
	Workspaces map[string]config.Workspace
	Operators  map[string]config.Operator
	Weighing   config.Weighing
}

// Load reads and checks a deployment file. The error joins all faults.
func Load(path string) (config.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return config.Config{}, fmt.Errorf("deployment: %w", err)
	}
	return Parse(path, data)
}

// Parse is Load for a file that has been read already; file is the name that
// faults bear.
func Parse(file string, data []byte) (config.Config, error) {
	into := deployment{Weighing: config.DefaultWeighing}
	d := document.Decode(file, data, &into)
	cfg := config.New().WithWeighing(into.Weighing)
	nameAll(d, "Models", into.Models, func(m *config.Model) *string { return &m.Name })
	nameAll(d, "Upstreams", into.Upstreams, func(u *config.Upstream) *string { return &u.Name })
	nameAll(d, "Workspaces", into.Workspaces, func(w *config.Workspace) *string { return &w.Name })
	nameAll(d, "Operators", into.Operators, func(o *config.Operator) *string { return &o.Name })
	maps.Copy(cfg.Models, into.Models)
	maps.Copy(cfg.Upstreams, into.Upstreams)
	maps.Copy(cfg.Workspaces, into.Workspaces)
	maps.Copy(cfg.Operators, into.Operators)
	check(d, cfg)
	if err := d.Err(); err != nil {
		return config.Config{}, err
	}
	return cfg, nil
}

// nameAll gives each object the name that it stands under.
func nameAll[V any](d *document.Decoded, path string, objects map[string]V, name func(*V) *string) {
	for _, key := range slices.Sorted(maps.Keys(objects)) {
		v := objects[key]
		own := name(&v)
		if *own != "" && *own != key {
			d.Fault(path+"."+key+".Name", fmt.Sprintf("%q stands under %q", *own, key), "the same name, or none")
		}
		*own = key
		objects[key] = v
	}
}

// check takes over the faults that the configuration finds in itself. They
// begin with the path of the key, which is its path in the file too. An
// object that could not be read is left out: what seems missing in it would
// only follow from that.
func check(d *document.Decoded, cfg config.Config) {
	err := cfg.Check()
	if err == nil {
		return
	}
	unread := map[string]bool{}
	for _, fault := range split(err) {
		path, problem, _ := strings.Cut(fault.Error(), ": ")
		object := objectOf(path)
		if _, known := unread[object]; !known {
			unread[object] = d.FaultyWithin(object)
		}
		if unread[object] {
			continue
		}
		problem = strings.TrimSuffix(problem, ": "+config.ErrInvalid.Error())
		problem, accepted, _ := strings.Cut(problem, "; ")
		d.Fault(path, problem, accepted)
	}
}

// objectOf gives the path of the object that a key is in, such as
// Upstreams.runner-1.
func objectOf(path string) string {
	parts := strings.SplitN(path, ".", 3)
	return strings.Join(parts[:min(len(parts), 2)], ".")
}

func split(err error) []error {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		return joined.Unwrap()
	}
	return []error{err}
}

// Changes gives the changes that set all of a configuration, in an order in
// which what is referred to comes first.
func Changes(cfg config.Config) []config.Change {
	changes := []config.Change{{SetWeighing: &cfg.Weighing}}
	for _, name := range slices.Sorted(maps.Keys(cfg.Models)) {
		m := cfg.Models[name]
		changes = append(changes, config.Change{SetModel: &m})
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Upstreams)) {
		u := cfg.Upstreams[name]
		changes = append(changes, config.Change{SetUpstream: &u})
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Workspaces)) {
		w := cfg.Workspaces[name]
		changes = append(changes, config.Change{SetWorkspace: &w})
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Operators)) {
		o := cfg.Operators[name]
		changes = append(changes, config.Change{SetOperator: &o})
	}
	return changes
}
