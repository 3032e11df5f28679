// Package differ says in words what differs between two documents.
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
	// Old and New are the values as text; an empty one is absent.
	Old, New string
}

// String gives the change on one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("%s: added, %s", c.Key, c.New)
	case c.New == "":
		return fmt.Sprintf("%s: removed, was %s", c.Key, c.Old)
	}
	return fmt.Sprintf("%s: %s → %s", c.Key, c.Old, c.New)
}

// Compare lists what changes from one document to the other, in the order of
// the keys. Both have their defaults set. Of a service that only one of them
// has, the keys with their defaults are left out.
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

// flatten gives the text of each key's value by the key's path.
func flatten(document, other gooseberrymast.Document) map[string]string {
	values := map[string]string{"zones": list(document.Zones)}
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
	service.Defaults()
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
			values[key] = list(field.Interface().([]string))
		default:
			values[key] = fmt.Sprint(field.Interface())
		}
	}
}

func list(items []string) string {
	return "[" + strings.Join(items, ", ") + "]"
}
