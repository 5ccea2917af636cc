// Package deployment reads the file in which operators describe a whole deployment:
// its models, upstreams, workspaces and operators. Operators submit it as an intent;
// a node may keep one as its last known configuration.
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

// deployment is the format of the file. The key of each object is its name.
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

// Parse is Load for a file that has been read already. Faults name it file.
func Parse(file string, data []byte) (config.Config, error) {
	decoded := deployment{Weighing: config.DefaultWeighing}
	d := document.Decode(file, data, &decoded)
	cfg := config.New().WithWeighing(decoded.Weighing)
	setNames(d, "Models", decoded.Models, func(m *config.Model) *string { return &m.Name })
	setNames(d, "Upstreams", decoded.Upstreams, func(u *config.Upstream) *string { return &u.Name })
	setNames(d, "Workspaces", decoded.Workspaces, func(w *config.Workspace) *string { return &w.Name })
	setNames(d, "Operators", decoded.Operators, func(o *config.Operator) *string { return &o.Name })
	maps.Copy(cfg.Models, decoded.Models)
	maps.Copy(cfg.Upstreams, decoded.Upstreams)
	maps.Copy(cfg.Workspaces, decoded.Workspaces)
	maps.Copy(cfg.Operators, decoded.Operators)
	addConfigFaults(d, cfg)
	if err := d.Err(); err != nil {
		return config.Config{}, err
	}
	return cfg, nil
}

// setNames sets the name of each object to its key.
func setNames[V any](d *document.Result, path string, objects map[string]V, name func(*V) *string) {
	for _, key := range slices.Sorted(maps.Keys(objects)) {
		v := objects[key]
		nameField := name(&v)
		if *nameField != "" && *nameField != key {
			d.AddFault(path+"."+key+".Name", fmt.Sprintf("name %q differs from its key %q", *nameField, key), "the same name, or none")
		}
		*nameField = key
		objects[key] = v
	}
}

// addConfigFaults adds the faults that the configuration's own check finds. Their
// texts begin with the path of the key, which is also its path in the file. Objects
// that could not be decoded are skipped, as what is missing in them would only
// follow from the first fault.
func addConfigFaults(d *document.Result, cfg config.Config) {
	err := cfg.Check()
	if err == nil {
		return
	}
	faulty := map[string]bool{}
	for _, fault := range unwrapJoined(err) {
		path, problem, _ := strings.Cut(fault.Error(), ": ")
		object := objectPath(path)
		if _, known := faulty[object]; !known {
			faulty[object] = d.HasFaultWithin(object)
		}
		if faulty[object] {
			continue
		}
		problem = strings.TrimSuffix(problem, ": "+config.ErrInvalid.Error())
		problem, accepted, _ := strings.Cut(problem, "; ")
		d.AddFault(path, problem, accepted)
	}
}

// objectPath returns the path of the object that contains a key, such as
// Upstreams.runner-1.
func objectPath(path string) string {
	parts := strings.SplitN(path, ".", 3)
	return strings.Join(parts[:min(len(parts), 2)], ".")
}

func unwrapJoined(err error) []error {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		return joined.Unwrap()
	}
	return []error{err}
}

// Changes returns the changes that create the whole configuration. Objects come
// before those that refer to them.
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
