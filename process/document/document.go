// Package document decodes YAML documents of this project's formats strictly. It
// reports all faults of a document at once, each with its line, the path of its key
// and what would be accepted, so that an operator can correct a file in one pass.
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

// MaxBytes bounds the size of a document, so that a file given by mistake is
// reported clearly.
const MaxBytes = 8 << 20

// ErrFault matches every Fault in errors.Is.
var ErrFault = errors.New("faulty document")

// Fault is one problem of a document.
type Fault struct {
	File     string
	Line     int    // 0 if the fault has no line, such as a missing key
	Path     string // key path, such as Listen.Callers.Address
	Problem  string
	Accepted string // the values that would be valid; empty if Problem says it
}

// Error returns the place, the problem and the accepted values in one line.
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

// Is reports whether target is ErrFault.
func (f Fault) Is(target error) bool { return target == ErrFault }

// Result holds the line of each key of a decoded document and collects its faults.
type Result struct {
	File   string
	lines  map[string]int
	faults []error
	// unparsed is set if the document could not be parsed at all. Faults found by
	// later checks, such as missing keys, would then mislead.
	unparsed bool
}

// Decode decodes a document of one YAML mapping into the struct that dst points to.
// Keys that the document leaves out keep their values.
func Decode(file string, data []byte, dst any) *Result {
	d := &Result{File: file, lines: map[string]int{}}
	if len(data) > MaxBytes {
		d.unparsed = true
		d.addFaultAt(0, "", fmt.Sprintf("%d bytes long", len(data)), fmt.Sprintf("up to %d bytes", MaxBytes))
		return d
	}
	root, err := parse(data)
	if err != nil {
		d.addSyntaxFault(err)
		return d
	}
	if root != nil {
		d.decodeValue(root, "", reflect.ValueOf(dst).Elem())
	}
	return d
}

// parse returns the root node of the only document, or nil if the data holds none.
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

// syntaxLine matches the line number of a syntax error, which yaml.v3 gives only in
// the error's text. For some errors it is the line before.
var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): `)

func (d *Result) addSyntaxFault(err error) {
	d.unparsed = true
	text := err.Error()
	line := 0
	if m := syntaxLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = strings.TrimPrefix(text, m[0])
	}
	d.addFaultAt(line, "", "not YAML near here: "+strings.TrimPrefix(text, "yaml: "), "")
}

// AddFault records that the value at path is wrong.
func (d *Result) AddFault(path, problem, accepted string) {
	if !d.unparsed {
		d.addFaultAt(d.lineOf(path), path, problem, accepted)
	}
}

// lineOf returns the line of the key at path, or of the nearest key that contains
// it.
func (d *Result) lineOf(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func (d *Result) addFaultAt(line int, path, problem, accepted string) {
	d.faults = append(d.faults, Fault{File: d.File, Line: line, Path: path, Problem: problem, Accepted: accepted})
}

// MarkOverridden records that the value at path did not come from the file, so that
// its faults name no line of the file.
func (d *Result) MarkOverridden(path string) { d.lines[path] = 0 }

// HasFault reports whether the value at path already has a fault, so that a later
// check does not report it a second time.
func (d *Result) HasFault(path string) bool {
	return slices.ContainsFunc(d.faults, func(err error) bool { return err.(Fault).Path == path })
}

// HasFaultWithin reports whether the value at path or anything in it has a fault.
func (d *Result) HasFaultWithin(path string) bool {
	return slices.ContainsFunc(d.faults, func(err error) bool {
		keyPath := err.(Fault).Path
		return keyPath == path || strings.HasPrefix(keyPath, path+".") || strings.HasPrefix(keyPath, path+"[")
	})
}

// Err returns all faults joined, in the order of their lines, or nil if there are
// none.
func (d *Result) Err() error {
	slices.SortStableFunc(d.faults, func(a, b error) int { return a.(Fault).Line - b.(Fault).Line })
	return errors.Join(d.faults...)
}

func (d *Result) decodeValue(n *yaml.Node, path string, dst reflect.Value) {
	if path != "" {
		d.lines[path] = n.Line
	}
	if n.Kind == yaml.AliasNode {
		d.addFaultAt(n.Line, path, "an alias", "the value itself")
		return
	}
	if u, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, path, u)
		return
	}
	switch dst.Kind() {
	case reflect.Pointer:
		dst.Set(reflect.New(dst.Type().Elem()))
		d.decodeValue(n, path, dst.Elem())
	case reflect.Struct:
		d.decodeStruct(n, path, dst)
	case reflect.Slice:
		d.decodeSlice(n, path, dst)
	case reflect.Map:
		d.decodeMap(n, path, dst)
	default:
		d.decodeScalar(n, path, dst)
	}
}

func (d *Result) decodeText(n *yaml.Node, path string, u encoding.TextUnmarshaler) {
	if n.Kind != yaml.ScalarNode {
		d.addFaultAt(n.Line, path, "not a single value", "a name")
		return
	}
	if err := u.UnmarshalText([]byte(n.Value)); err != nil {
		d.addFaultAt(n.Line, path, withoutSentinel(err), "")
	}
}

// withoutSentinel returns an error's text without that of the sentinel that it
// wraps. The sentinel serves programs; the text before it already tells people the
// same.
func withoutSentinel(err error) string {
	sentinel := errors.Unwrap(err)
	if sentinel == nil {
		return err.Error()
	}
	return strings.TrimSuffix(err.Error(), ": "+sentinel.Error())
}

func (d *Result) decodeStruct(n *yaml.Node, path string, dst reflect.Value) {
	keys := fieldNames(dst.Type())
	if n.Kind != yaml.MappingNode {
		d.addFaultAt(n.Line, path, "not a mapping", "the keys "+strings.Join(keys, ", "))
		return
	}
	d.forEachPair(n, path, func(key, value *yaml.Node, keyPath string) {
		if !slices.Contains(keys, key.Value) {
			d.addFaultAt(key.Line, keyPath, "unknown key", strings.Join(keys, ", "))
			return
		}
		d.decodeValue(value, keyPath, dst.FieldByName(key.Value))
	})
}

// decodeMap decodes a mapping whose keys are names that the document chooses.
func (d *Result) decodeMap(n *yaml.Node, path string, dst reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.addFaultAt(n.Line, path, "not a mapping", "names, each with its value")
		return
	}
	dst.Set(reflect.MakeMap(dst.Type()))
	d.forEachPair(n, path, func(key, value *yaml.Node, keyPath string) {
		item := reflect.New(dst.Type().Elem()).Elem()
		d.decodeValue(value, keyPath, item)
		dst.SetMapIndex(reflect.ValueOf(key.Value), item)
	})
}

// forEachPair calls visit for each key of a mapping. A repeated key is a fault and
// is visited only the first time.
func (d *Result) forEachPair(n *yaml.Node, path string, visit func(key, value *yaml.Node, keyPath string)) {
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		keyPath := joinPath(path, key.Value)
		if first, duplicate := seen[key.Value]; duplicate {
			d.addFaultAt(key.Line, keyPath, fmt.Sprintf("given twice, first in line %d", first), "once")
			continue
		}
		seen[key.Value] = key.Line
		visit(key, value, keyPath)
	}
}

func (d *Result) decodeSlice(n *yaml.Node, path string, dst reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.addFaultAt(n.Line, path, "not a list", "a list")
		return
	}
	list := reflect.MakeSlice(dst.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		d.decodeValue(item, fmt.Sprintf("%s[%d]", path, i), list.Index(i))
	}
	dst.Set(list)
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *Result) decodeScalar(n *yaml.Node, path string, dst reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.addFaultAt(n.Line, path, "not a single value", describeType(dst.Type()))
		return
	}
	if err := SetScalar(dst, n.Value); err != nil {
		d.addFaultAt(n.Line, path, fmt.Sprintf("%q is not %s", n.Value, describeType(dst.Type())), "")
	}
}

// SetScalar parses text into a settable value of a scalar kind.
func SetScalar(dst reflect.Value, text string) error {
	if u, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(text))
	}
	if dst.Type() == durationType {
		v, err := time.ParseDuration(text)
		dst.SetInt(int64(v))
		return err
	}
	switch dst.Kind() {
	case reflect.String:
		dst.SetString(text)
		return nil
	case reflect.Bool:
		v, err := strconv.ParseBool(text)
		dst.SetBool(v)
		return err
	case reflect.Int, reflect.Int64:
		v, err := strconv.ParseInt(text, 10, 64)
		dst.SetInt(v)
		return err
	case reflect.Float64:
		v, err := strconv.ParseFloat(text, 64)
		dst.SetFloat(v)
		return err
	}
	return fmt.Errorf("document: no decoder for %s", dst.Type())
}

func describeType(t reflect.Type) string {
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

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
