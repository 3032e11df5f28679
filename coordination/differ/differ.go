// Package differ describes the differences between two documents.
package differ

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"gooseberrymast"
)

// Change is one key whose value differs.
type Change struct {
	// Key is the path of the key in the document.
	Key string
	// Old and New are the values as text; empty means absent.
	Old, New string
}

// String formats the change as one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("%s: added, %s", c.Key, c.New)
	case c.New == "":
		return fmt.Sprintf("%s: removed, was %s", c.Key, c.Old)
	}
	return fmt.Sprintf("%s: %s → %s", c.Key, c.Old, c.New)
}

// Compare lists the changes from one document to the other, sorted by key. Both
// must have their defaults set. For a service that is in only one of them, keys
// with default values are omitted.
func Compare(from, to gooseberrymast.Document) []Change {
	before, after := flatten(from, to), flatten(to, from)
	var changes []Change
	for key, value := range before {
		if after[key] != value {
			changes = append(changes, Change{Key: key, Old: value, New: after[key]})
		}
	}
	for key, value := range after {
		if before[key] == "" {
			changes = append(changes, Change{Key: key, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		return changes[i].Key < changes[j].Key
	})
	return changes
}

// flatten returns the values of a document as text, by the path of the key.
func flatten(document, other gooseberrymast.Document) map[string]string {
	values := map[string]string{"zones": formatList(document.Zones)}
	for name, service := range document.Services {
		path := gooseberrymast.KeyPath("services", name)
		flattenStruct(values, path, reflect.ValueOf(service))
		if _, both := other.Services[name]; !both {
			dropDefaults(values, path)
			values[path] = "a service"
		}
	}
	return values
}

func dropDefaults(values map[string]string, path string) {
	var service gooseberrymast.Service
	service.SetDefaults()
	defaults := map[string]string{}
	flattenStruct(defaults, path, reflect.ValueOf(service))
	for key, value := range defaults {
		if values[key] == value {
			delete(values, key)
		}
	}
}

func flattenStruct(values map[string]string, path string, table reflect.Value) {
	for i := range table.NumField() {
		key := path + "." + table.Type().Field(i).Tag.Get("toml")
		switch field := table.Field(i); field.Kind() {
		case reflect.Struct:
			flattenStruct(values, key, field)
		case reflect.Slice:
			values[key] = formatList(field.Interface().([]string))
		default:
			values[key] = fmt.Sprint(field.Interface())
		}
	}
}

func formatList(items []string) string {
	return "[" + strings.Join(items, ", ") + "]"
}
