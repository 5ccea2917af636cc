// Package document decodes YAML documents of our own formats strictly. It
// reports every fault of a document at once, each with its line, the path of
// its key and what would be accepted, so that an operator mends a file in one
// go.
package document

import (
	"bytes"
	"cmp"
	"encoding"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// MaxBytes bounds a document, so that a wrong file name is a clear error.
const MaxBytes = 8 << 20

// ErrFault matches every Fault.
var ErrFault = errors.New("faulty document")

// Fault is one thing wrong with a document.
type Fault struct {
	File     string
	Line     int    // 0: the fault has no line, the key is missing
	Path     string // key path, such as Listen.Callers.Address
	Problem  string
	Accepted string // values that would do; empty when Problem says it all
}

// Error gives place, problem and accepted values in one line.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Problem)
	if f.Accepted != "" {
		b.WriteString(" (accepted: " + f.Accepted + ")")
	}
	return b.String()
}

// Is matches ErrFault.
func (f Fault) Is(target error) bool { return target == ErrFault }

// Decoded knows where each key of a document stands and collects its faults.
type Decoded struct {
	File   string
	lines  map[string]int
	faults []error
	// unread is set when the document could not be read at all; faults of its
	// meaning, such as missing keys, would then only be noise.
	unread bool
}

// Decode reads a document of one YAML mapping into the struct that into
// points to. Keys that the document leaves out keep their values.
func Decode(file string, data []byte, into any) *Decoded {
	d := &Decoded{File: file, lines: map[string]int{}}
	if len(data) > MaxBytes {
		d.unread = true
		d.add(0, "", fmt.Sprintf("%d bytes long", len(data)), fmt.Sprintf("up to %d bytes", MaxBytes))
		return d
	}
	root, err := parse(data)
	if err != nil {
		d.syntaxFault(err)
		return d
	}
	if root != nil {
		d.value(root, "", reflect.ValueOf(into).Elem())
	}
	return d
}

// parse gives the one document's root; nil if the data holds none.
func parse(data []byte) (*yaml.Node, error) {
	var document, second yaml.Node
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, cmp.Or(err, errors.New("more than one document"))
	}
	return document.Content[0], nil
}

// yaml.v3 says the line of a syntax error only in its text, and for some
// errors it is the line before.
var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): `)

func (d *Decoded) syntaxFault(err error) {
	d.unread = true
	text := err.Error()
	line := 0
	if m := syntaxLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = strings.TrimPrefix(text, m[0])
	}
	d.add(line, "", "not YAML near here: "+strings.TrimPrefix(text, "yaml: "), "")
}

// Fault notes that the value at path is wrong.
func (d *Decoded) Fault(path, problem, accepted string) {
	if !d.unread {
		d.add(d.line(path), path, problem, accepted)
	}
}

// line finds the line of a path, or of the nearest key around it.
func (d *Decoded) line(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func (d *Decoded) add(line int, path, problem, accepted string) {
	d.faults = append(d.faults, Fault{File: d.File, Line: line, Path: path, Problem: problem, Accepted: accepted})
}

// Overridden notes that the value at path did not come from the file, so that
// faults in it don't name a line of the file.
func (d *Decoded) Overridden(path string) { d.lines[path] = 0 }

// Faulty says whether the value at path already has a fault, so that a check
// of its meaning need not report it a second time.
func (d *Decoded) Faulty(path string) bool {
	return slices.ContainsFunc(d.faults, func(err error) bool { return err.(Fault).Path == path })
}

// FaultyWithin says whether the value at path or anything in it has a fault.
func (d *Decoded) FaultyWithin(path string) bool {
	return slices.ContainsFunc(d.faults, func(err error) bool {
		at := err.(Fault).Path
		return at == path || strings.HasPrefix(at, path+".") || strings.HasPrefix(at, path+"[")
	})
}

// Err joins all faults, in the order of their lines; nil if there are none.
func (d *Decoded) Err() error {
	slices.SortStableFunc(d.faults, func(a, b error) int { return a.(Fault).Line - b.(Fault).Line })
	return errors.Join(d.faults...)
}

func (d *Decoded) value(n *yaml.Node, path string, into reflect.Value) {
	if path != "" {
		d.lines[path] = n.Line
	}
	if n.Kind == yaml.AliasNode {
		d.add(n.Line, path, "an alias", "the value itself")
		return
	}
	if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(n, path, u)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.value(n, path, into.Elem())
	case reflect.Struct:
		d.mapping(n, path, into)
	case reflect.Slice:
		d.sequence(n, path, into)
	case reflect.Map:
		d.table(n, path, into)
	default:
		d.scalar(n, path, into)
	}
}

func (d *Decoded) text(n *yaml.Node, path string, u encoding.TextUnmarshaler) {
	if n.Kind != yaml.ScalarNode {
		d.add(n.Line, path, "not a single value", "a name")
		return
	}
	if err := u.UnmarshalText([]byte(n.Value)); err != nil {
		d.add(n.Line, path, withoutSentinel(err), "")
	}
}

// withoutSentinel gives an error's text without that of the sentinel it
// wraps, which tells programs what the text before it tells people.
func withoutSentinel(err error) string {
	sentinel := errors.Unwrap(err)
	if sentinel == nil {
		return err.Error()
	}
	return strings.TrimSuffix(err.Error(), ": "+sentinel.Error())
}

func (d *Decoded) mapping(n *yaml.Node, path string, into reflect.Value) {
	keys := fieldNames(into.Type())
	if n.Kind != yaml.MappingNode {
		d.add(n.Line, path, "not a mapping", "the keys "+strings.Join(keys, ", "))
		return
	}
	d.pairs(n, path, func(key, value *yaml.Node, at string) {
		if !slices.Contains(keys, key.Value) {
			d.add(key.Line, at, "unknown key", strings.Join(keys, ", "))
			return
		}
		d.value(value, at, into.FieldByName(key.Value))
	})
}

// table reads a mapping whose keys are names that the document chooses.
func (d *Decoded) table(n *yaml.Node, path string, into reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.add(n.Line, path, "not a mapping", "names, each with its value")
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	d.pairs(n, path, func(key, value *yaml.Node, at string) {
		item := reflect.New(into.Type().Elem()).Elem()
		d.value(value, at, item)
		into.SetMapIndex(reflect.ValueOf(key.Value), item)
	})
}

// pairs calls each for every key of a mapping that isn't given twice.
func (d *Decoded) pairs(n *yaml.Node, path string, each func(key, value *yaml.Node, at string)) {
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		at := join(path, key.Value)
		if first, twice := seen[key.Value]; twice {
			d.add(key.Line, at, fmt.Sprintf("given twice, first in line %d", first), "once")
			continue
		}
		seen[key.Value] = key.Line
		each(key, value, at)
	}
}

func (d *Decoded) sequence(n *yaml.Node, path string, into reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.add(n.Line, path, "not a list", "a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		d.value(item, fmt.Sprintf("%s[%d]", path, i), list.Index(i))
	}
	into.Set(list)
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *Decoded) scalar(n *yaml.Node, path string, into reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.add(n.Line, path, "not a single value", expected(into.Type()))
		return
	}
	if err := Set(into, n.Value); err != nil {
		d.add(n.Line, path, fmt.Sprintf("%q is not %s", n.Value, expected(into.Type())), "")
	}
}

// Set reads text into a settable value of a scalar kind.
func Set(into reflect.Value, text string) error {
	if u, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(text))
	}
	if into.Type() == durationType {
		v, err := time.ParseDuration(text)
		into.SetInt(int64(v))
		return err
	}
	switch into.Kind() {
	case reflect.String:
		into.SetString(text)
		return nil
	case reflect.Bool:
		v, err := strconv.ParseBool(text)
		into.SetBool(v)
		return err
	case reflect.Int, reflect.Int64:
		v, err := strconv.ParseInt(text, 10, 64)
		into.SetInt(v)
		return err
	case reflect.Float64:
		v, err := strconv.ParseFloat(text, 64)
		into.SetFloat(v)
		return err
	}
	return fmt.Errorf("document: no decoder for %s", into.Type())
}

func expected(t reflect.Type) string {
	if t == durationType {
		return "a duration such as 250ms, 5s or 15m"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return "a text"
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for f := range t.Fields() {
		if f.IsExported() {
			names = append(names, f.Name)
		}
	}
	return names
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
