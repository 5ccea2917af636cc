package metric

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// MaxClasses limits the workspaces that have a label value of their own.
const MaxClasses = 24

// OtherClass is the class of all other workspaces.
const OtherClass = "other"

// Classes holds the workspaces that have a label value of their own: those
// with the greatest weight. It depends only on the configuration, so that all
// nodes agree and their series can be added up.
type Classes struct {
	own map[string]bool
}

// NewClasses returns the classes for a configuration.
func NewClasses(cfg config.Config) Classes {
	all := slices.Collect(maps.Values(cfg.Workspaces))
	slices.SortFunc(all, func(a, b config.Workspace) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	own := make(map[string]bool, MaxClasses)
	for _, w := range all[:min(len(all), MaxClasses)] {
		own[w.Name] = true
	}
	return Classes{own: own}
}

// Of returns the class of a workspace.
func (c Classes) Of(workspace string) string {
	if c.own[workspace] {
		return workspace
	}
	return OtherClass
}

// missingFrom returns the classes that next does not have.
func (c Classes) missingFrom(next Classes) []string {
	var missing []string
	for name := range c.own {
		if !next.own[name] {
			missing = append(missing, name)
		}
	}
	return missing
}
