package metric

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// MaxClasses bounds the workspaces that have a label value of their own.
const MaxClasses = 24

// Other is the class of all further workspaces.
const Other = "other"

// Classes says which workspaces have a label value of their own: those with
// the greatest weight. It follows from the configuration alone, so that all
// nodes agree and their series can be added up.
type Classes struct {
	own map[string]bool
}

// NewClasses picks the classes of a configuration.
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

// Of gives the class of a workspace.
func (c Classes) Of(workspace string) string {
	if c.own[workspace] {
		return workspace
	}
	return Other
}

// without gives the classes that next no longer has.
func (c Classes) without(next Classes) []string {
	var gone []string
	for name := range c.own {
		if !next.own[name] {
			gone = append(gone, name)
		}
	}
	return gone
}
