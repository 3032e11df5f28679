package parser

import (
	"encoding"
	"errors"
	"net/netip"
	"reflect"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"

	"gooseberrymast"
)

// decoder fills a struct from TOML key by key, so that one wrong key does not
// hide the next.
type decoder struct {
	file   string
	meta   toml.MetaData
	root   table
	faults gooseberrymast.Faults
	// faultyKeys is the set of the paths in faults.
	faultyKeys map[string]bool
	// primitives maps the path of each key in the text to its value. It is nil
	// until locate fills it.
	primitives map[string]toml.Primitive
}

type table map[string]toml.Primitive

// decode fills target from the text and adds to faults. It reports whether the
// text is valid TOML.
func (d *decoder) decode(text []byte, target any) bool {
	ok := d.parse(text)
	if ok {
		d.fillStruct(d.root, nil, reflect.ValueOf(target).Elem())
	}
	return ok
}

func (d *decoder) parse(text []byte) bool {
	if fault, found := depthFault(d.file, text); found {
		d.faults = append(d.faults, fault)
		return false
	}
	meta, err := toml.Decode(string(text), &d.root)
	if err != nil {
		d.faults = append(d.faults, syntaxFault(d.file, err))
		return false
	}
	d.meta = meta
	return true
}

// indexKeys adds all keys below a table to primitives.
func (d *decoder) indexKeys(keys table, parent []string) {
	for name, primitive := range keys {
		path := append(parent[:len(parent):len(parent)], name)
		d.primitives[gooseberrymast.KeyPath(path...)] = primitive
		if inner, ok := d.tableOf(primitive); ok {
			d.indexKeys(inner, path)
		}
	}
}

func (d *decoder) fill(primitive toml.Primitive, path []string, target reflect.Value) {
	if !isTable(target) {
		d.fillLeaf(primitive, path, target)
		return
	}
	inner, ok := d.tableOf(primitive)
	if !ok {
		d.reportWrongType(primitive, path, target.Type())
		return
	}
	if target.Kind() == reflect.Map {
		d.fillMap(inner, path, target)
		return
	}
	d.fillStruct(inner, path, target)
}

// tableOf returns the table that is the value of a key and reports whether it is
// one. It checks the value's type first, since the library decodes a value that
// is not a table to an empty map without an error.
func (d *decoder) tableOf(primitive toml.Primitive) (table, bool) {
	var value any
	if d.meta.PrimitiveDecode(primitive, &value) != nil {
		return nil, false
	}
	if _, ok := value.(map[string]any); !ok {
		return nil, false
	}
	var inner table
	err := d.meta.PrimitiveDecode(primitive, &inner)
	return inner, err == nil
}

func (d *decoder) fillStruct(keys table, path []string, target reflect.Value) {
	for _, name := range sortedKeys(keys) {
		inner := append(path[:len(path):len(path)], name)
		field, ok := fieldOf(target, name)
		if !ok {
			d.reportUnknownKey(inner, target.Type())
			continue
		}
		d.fill(keys[name], inner, field)
	}
}

func (d *decoder) fillMap(keys table, path []string, target reflect.Value) {
	target.Set(reflect.MakeMap(target.Type()))
	for _, name := range sortedKeys(keys) {
		element := reflect.New(target.Type().Elem())
		if defaulter, ok := element.Interface().(interface{ SetDefaults() }); ok {
			defaulter.SetDefaults()
		}
		d.fill(keys[name], append(path[:len(path):len(path)], name), element.Elem())
		target.SetMapIndex(reflect.ValueOf(name), element.Elem())
	}
}

func (d *decoder) fillLeaf(primitive toml.Primitive, path []string, target reflect.Value) {
	value := reflect.New(target.Type())
	if err := d.meta.PrimitiveDecode(primitive, value.Interface()); err != nil {
		d.reportWrongType(primitive, path, target.Type())
		return
	}
	target.Set(value.Elem())
}

func (d *decoder) reportUnknownKey(path []string, parent reflect.Type) {
	d.report(path, "an unknown key", "one of "+strings.Join(keysOf(parent), ", "))
}

func (d *decoder) reportWrongType(primitive toml.Primitive, path []string, want reflect.Type) {
	var value any
	shown := ""
	if d.meta.PrimitiveDecode(primitive, &value) == nil {
		shown = gooseberrymast.FaultValue(value)
	}
	d.report(path, shown, describeType(want))
}

func (d *decoder) report(path []string, value, want string) {
	key := gooseberrymast.KeyPath(path...)
	d.faults = append(d.faults, gooseberrymast.Fault{Key: key, Value: value, Want: want})
	if d.faultyKeys == nil {
		d.faultyKeys = map[string]bool{}
	}
	d.faultyKeys[key] = true
}

// isReported reports whether a fault was found while decoding the key or a
// table that contains it.
func (d *decoder) isReported(key string) bool {
	for ; key != ""; key = parentOf(key) {
		if d.faultyKeys[key] {
			return true
		}
	}
	return false
}

// parentOf returns a path without its last part.
func parentOf(key string) string {
	return key[:max(0, strings.LastIndexByte(key, '.'))]
}

// locate returns the faults with the file and with the line of the key, or that
// of the nearest table that contains it.
func (d *decoder) locate(faults gooseberrymast.Faults) gooseberrymast.Faults {
	if len(faults) == 0 {
		return nil
	}
	d.primitives = map[string]toml.Primitive{}
	d.indexKeys(d.root, nil)
	located := make(gooseberrymast.Faults, 0, len(faults))
	for i, fault := range faults {
		fault.File = d.file
		for key := fault.Key; key != "" && fault.Line == 0 && i < MaxLocatedFaults; key = parentOf(key) {
			fault.Line = d.lineOf(key)
		}
		located = append(located, fault)
	}
	return located
}

// MaxLocatedFaults is the maximum number of faults of one text that get a line.
// For each line the library copies the text.
const MaxLocatedFaults = 1000

// lineProbe always fails to decode, since only the library's errors contain the
// line of a key.
type lineProbe struct{}

var errLineProbe = errors.New("located")

// UnmarshalTOML always fails.
func (*lineProbe) UnmarshalTOML(any) error {
	return errLineProbe
}

// lineOf returns the line of a key, or zero if it is unknown.
func (d *decoder) lineOf(key string) int {
	primitive, ok := d.primitives[key]
	if !ok {
		return 0
	}
	var parseError toml.ParseError
	err := d.meta.PrimitiveDecode(primitive, &lineProbe{})
	if !errors.As(err, &parseError) {
		return 0
	}
	return parseError.Position.Line
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func isTable(target reflect.Value) bool {
	if reflect.PointerTo(target.Type()).Implements(textUnmarshaler) {
		return false
	}
	return target.Kind() == reflect.Struct || target.Kind() == reflect.Map
}

func fieldOf(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if target.Type().Field(i).Tag.Get("toml") == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(parent reflect.Type) []string {
	names := make([]string, 0, parent.NumField())
	for i := range parent.NumField() {
		names = append(names, parent.Field(i).Tag.Get("toml"))
	}
	sort.Strings(names)
	return names
}

func sortedKeys(keys table) []string {
	names := make([]string, 0, len(keys))
	for name := range keys {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// describeType describes the values that a key of the type accepts.
func describeType(want reflect.Type) string {
	switch want {
	case reflect.TypeFor[gooseberrymast.Duration]():
		return `a duration such as "250ms" or "10s"`
	case reflect.TypeFor[netip.AddrPort]():
		return `an IP address and a port such as "10.0.0.1:7000"`
	case reflect.TypeFor[[]netip.AddrPort]():
		return `a list of IP addresses with ports such as ["10.0.0.1:7000"]`
	}
	switch want.Kind() {
	case reflect.String:
		return "text in quotes"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list of texts in quotes"
	default:
		return "a table"
	}
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
