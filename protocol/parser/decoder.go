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
	// faulty has the paths of faults.
	faulty map[string]bool
	// keys has the value of each key in the text by its path, once a line is
	// asked for.
	keys map[string]toml.Primitive
}

type table map[string]toml.Primitive

// decode reports whether the text is TOML at all.
func (d *decoder) decode(text []byte, target any) bool {
	ok := d.open(text)
	if ok {
		d.fillStruct(d.root, nil, reflect.ValueOf(target).Elem())
	}
	return ok
}

func (d *decoder) open(text []byte) bool {
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

// index notes all keys below a table.
func (d *decoder) index(keys table, parent []string) {
	for name, primitive := range keys {
		path := append(parent[:len(parent):len(parent)], name)
		d.keys[gooseberrymast.KeyPath(path...)] = primitive
		if inner, ok := d.tableOf(primitive); ok {
			d.index(inner, path)
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
		d.wrongType(primitive, path, target.Type())
		return
	}
	if target.Kind() == reflect.Map {
		d.fillMap(inner, path, target)
		return
	}
	d.fillStruct(inner, path, target)
}

// tableOf looks at the value first: the library gives an empty map without an
// error for a value that is no table.
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
			d.unknownKey(inner, target.Type())
			continue
		}
		d.fill(keys[name], inner, field)
	}
}

func (d *decoder) fillMap(keys table, path []string, target reflect.Value) {
	target.Set(reflect.MakeMap(target.Type()))
	for _, name := range sortedKeys(keys) {
		element := reflect.New(target.Type().Elem())
		if defaulter, ok := element.Interface().(interface{ Defaults() }); ok {
			defaulter.Defaults()
		}
		d.fill(keys[name], append(path[:len(path):len(path)], name), element.Elem())
		target.SetMapIndex(reflect.ValueOf(name), element.Elem())
	}
}

func (d *decoder) fillLeaf(primitive toml.Primitive, path []string, target reflect.Value) {
	value := reflect.New(target.Type())
	if err := d.meta.PrimitiveDecode(primitive, value.Interface()); err != nil {
		d.wrongType(primitive, path, target.Type())
		return
	}
	target.Set(value.Elem())
}

func (d *decoder) unknownKey(path []string, parent reflect.Type) {
	d.report(path, "an unknown key", "one of "+strings.Join(keysOf(parent), ", "))
}

func (d *decoder) wrongType(primitive toml.Primitive, path []string, want reflect.Type) {
	var value any
	shown := ""
	if d.meta.PrimitiveDecode(primitive, &value) == nil {
		shown = gooseberrymast.FaultValue(value)
	}
	d.report(path, shown, describe(want))
}

func (d *decoder) report(path []string, value, want string) {
	key := gooseberrymast.KeyPath(path...)
	d.faults = append(d.faults, gooseberrymast.Fault{Key: key, Value: value, Want: want})
	if d.faulty == nil {
		d.faulty = map[string]bool{}
	}
	d.faulty[key] = true
}

// reported tells whether the key, or a table around it, could not be decoded.
func (d *decoder) reported(key string) bool {
	for ; key != ""; key = parentOf(key) {
		if d.faulty[key] {
			return true
		}
	}
	return false
}

// parentOf cuts the last part off a path.
func parentOf(key string) string {
	return key[:max(0, strings.LastIndexByte(key, '.'))]
}

// locate sets the line of the key or of the nearest table around it.
func (d *decoder) locate(faults gooseberrymast.Faults) gooseberrymast.Faults {
	if len(faults) == 0 {
		return nil
	}
	d.keys = map[string]toml.Primitive{}
	d.index(d.root, nil)
	located := make(gooseberrymast.Faults, 0, len(faults))
	for i, fault := range faults {
		fault.File = d.file
		for key := fault.Key; key != "" && fault.Line == 0 && i < MaxLocated; key = parentOf(key) {
			fault.Line = d.line(key)
		}
		located = append(located, fault)
	}
	return located
}

// MaxLocated is the number of faults of one text that are given their lines.
// Each costs the library a copy of the text.
const MaxLocated = 1000

// locator never decodes, so that the library's error tells where it was.
type locator struct{}

var errLocated = errors.New("located")

// UnmarshalTOML always fails.
func (*locator) UnmarshalTOML(any) error {
	return errLocated
}

// line gives the line of a key, or zero.
func (d *decoder) line(key string) int {
	primitive, ok := d.keys[key]
	if !ok {
		return 0
	}
	var parseError toml.ParseError
	err := d.meta.PrimitiveDecode(primitive, &locator{})
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

// describe says in words what a key of the type takes.
func describe(want reflect.Type) string {
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
