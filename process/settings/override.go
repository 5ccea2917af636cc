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

// Override is a setting given by a flag or an environment variable.
type Override struct {
	Path  string // key path, such as Listen.Callers.Address
	Value string
}

// overridable are the settings that differ between the nodes of a fleet or
// that hold a secret; the others belong into the file.
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

// FlagName is the flag of a key path: Listen.Callers.Address is
// listen-callers-address.
func FlagName(path string) string {
	dashed := wordStart.ReplaceAllString(strings.ReplaceAll(path, ".", "-"), "$1$3-$2$4")
	return strings.ToLower(dashed)
}

// wordStart finds where a word begins: between a lower and an upper letter,
// or before the last letter of an abbreviation that a word follows.
var wordStart = regexp.MustCompile(`([a-z])([A-Z])|([A-Z])([A-Z][a-z])`)

// Flags registers one flag for each overridable setting on fs and gives a
// function for the overrides that were set, to be called after parsing.
func Flags(fs *flag.FlagSet) func() []Override {
	values := map[string]*string{}
	for _, path := range overridable {
		values[path] = fs.String(FlagName(path), "", "goes before `"+path+"` of the settings file")
	}
	return func() []Override {
		var set []Override
		for _, path := range overridable {
			if *values[path] != "" {
				set = append(set, Override{Path: path, Value: *values[path]})
			}
		}
		return set
	}
}

func (s *Settings) override(d *document.Decoded, overrides []Override) {
	for _, o := range overrides {
		if !slices.Contains(overridable, o.Path) {
			d.Fault(o.Path, "can't be overridden", strings.Join(overridable, ", "))
			continue
		}
		d.Overridden(o.Path)
		v := reflect.ValueOf(s).Elem()
		for key := range strings.SplitSeq(o.Path, ".") {
			v = v.FieldByName(key)
		}
		if err := document.Set(v, o.Value); err != nil {
			d.Fault(o.Path, fmt.Sprintf("override: %v", err), "")
		}
	}
}
