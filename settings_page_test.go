package gooseberrymast_test

import (
	"encoding"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
)

// tableRow matches a key and its default in a row of docs/SETTINGS.md.
var tableRow = regexp.MustCompile("(?m)^\\| `([a-zA-Z.-]+)` \\| [^|]+ \\| `?([^|`]+)`? \\| .+ \\|$")

// TestSettingsPage checks that the keys and defaults in docs/SETTINGS.md match
// the structs.
func TestSettingsPage(t *testing.T) {
	text, err := os.ReadFile("docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var service gooseberrymast.Service
	service.SetDefaults()
	document := map[string]string{"zones": "required"}
	defaultsOf(document, "services.NAME.", reflect.ValueOf(service), nil)

	var balancer gooseberrymast.BalancerSettings
	balancer.SetDefaults()
	balancerKeys := map[string]string{}
	defaultsOf(balancerKeys, "", reflect.ValueOf(balancer), balancer.Validate())

	var agent gooseberrymast.AgentSettings
	agent.SetDefaults()
	agentKeys := map[string]string{}
	defaultsOf(agentKeys, "", reflect.ValueOf(agent), agent.Validate())

	var forwarding gooseberrymast.ForwardingSettings
	forwarding.SetDefaults()
	forwardingKeys := map[string]string{}
	defaultsOf(forwardingKeys, "", reflect.ValueOf(forwarding), forwarding.Validate())

	tests := []struct {
		section string
		want    map[string]string
	}{
		{"Document", document},
		{"Balancer", balancerKeys},
		{"Agent", agentKeys},
		{"Forwarding", forwardingKeys},
	}
	for _, test := range tests {
		t.Run(test.section, func(t *testing.T) {
			is := is.New(t)
			section := regexp.MustCompile("(?s)\n## " + test.section + "\n(.*?)\n## ").FindSubmatch(text)
			is.True(section != nil) // the page has the section
			got := map[string]string{}
			for _, row := range tableRow.FindAllSubmatch(section[1], -1) {
				got[string(row[1])] = string(row[2])
			}
			for key, value := range test.want {
				if got[key] != value {
					t.Errorf("%s: the page says %q, the code %q", key, got[key], value)
				}
				delete(got, key)
			}
			is.Equal(len(got), 0) // no key on the page that the code lacks
		})
	}
}

// defaultsOf adds the default of each key to into, or "required" for a key that
// validation reports.
func defaultsOf(into map[string]string, prefix string, table reflect.Value, faults gooseberrymast.Faults) {
	for i := range table.NumField() {
		field := table.Field(i)
		key := prefix + table.Type().Field(i).Tag.Get("toml")
		_, isText := field.Interface().(encoding.TextMarshaler)
		switch {
		case field.Kind() == reflect.Struct && !isText:
			defaultsOf(into, key+".", field, faults)
			continue
		case isText && field.Kind() == reflect.Struct, field.Kind() == reflect.Slice, field.Kind() == reflect.Map, field.Kind() == reflect.String && field.IsZero():
			into[key] = "empty"
		default:
			into[key] = fmt.Sprint(field.Interface())
		}
		for _, fault := range faults {
			if fault.Key == key {
				into[key] = "required"
			}
		}
	}
}
