package settings

import (
	"flag"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/dunlinmill/dunlinmill/process/document"
)

// Override is a setting that a flag or an environment variable sets.
type Override struct {
	Path  string // key path, such as Listen.Callers.Address
	Value string
}

// overridable lists the settings that flags and environment variables may set: those
// that differ between the nodes of a fleet, and those that hold a secret. All others
// belong in the file.
var overridable = []string{
	"Node",
	"DataCentre",
	"Listen.Callers.Address",
	"Listen.Operators.Address",
	"Listen.Peers.Address",
	"Platform.Log",
	"Platform.VMList",
	"Platform.WeightStore",
	"Peers.SecretFile",
	"Operators.BootstrapTokenFile",
	"Log.Level",
	"LastKnown",
}

// FlagName returns the name of the flag for a key path: listen-callers-address for
// Listen.Callers.Address.
func FlagName(path string) string {
	dashed := wordBoundary.ReplaceAllString(strings.ReplaceAll(path, ".", "-"), "$1$3-$2$4")
	return strings.ToLower(dashed)
}

// wordBoundary matches where a new word begins: between a lower-case and an
// upper-case letter, and before the last letter of an abbreviation that a word
// follows.
var wordBoundary = regexp.MustCompile(`([a-z])([A-Z])|([A-Z])([A-Z][a-z])`)

// RegisterFlags registers one flag on fs for each overridable setting. The function
// that it returns must be called after parsing and returns the overrides that were
// given.
func RegisterFlags(fs *flag.FlagSet) func() []Override {
	values := map[string]*string{}
	for _, path := range overridable {
		values[path] = fs.String(FlagName(path), "", "overrides `"+path+"` of the settings file")
	}
	return func() []Override {
		var given []Override
		for _, path := range overridable {
			if *values[path] != "" {
				given = append(given, Override{Path: path, Value: *values[path]})
			}
		}
		return given
	}
}

func (s *Settings) override(d *document.Result, overrides []Override) {
	for _, o := range overrides {
		if !slices.Contains(overridable, o.Path) {
			d.AddFault(o.Path, "can't be overridden", strings.Join(overridable, ", "))
			continue
		}
		d.MarkOverridden(o.Path)
		v := reflect.ValueOf(s).Elem()
		for key := range strings.SplitSeq(o.Path, ".") {
			v = v.FieldByName(key)
		}
		if err := document.SetScalar(v, o.Value); err != nil {
			d.AddFault(o.Path, fmt.Sprintf("override: %v", err), "")
		}
	}
}
