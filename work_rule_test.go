package gooseberrymast

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWorkRule guards against decisions by work where neither the settings nor the
// document call for them, and against services that should have them and don't.
func TestWorkRule(t *testing.T) {
	settings := ForwardingSettings{}
	settings.SetDefaults()
	auto := settings.PlacementRule()
	route := func(port uint16, objective time.Duration, service string) Route {
		return Route{
			Address: Endpoint{Port: port}, Objective: objective, Backends: []WeightedService{{Service: service, Weight: 1}},
		}
	}
	routes := &Routes{ByAddress: map[Endpoint]Route{}}
	for _, r := range []Route{
		route(1, 800*time.Millisecond, "tight"), route(2, 250*time.Millisecond, "tight"),
		route(3, 251*time.Millisecond, "loose"), route(4, 0, "no-objective"),
	} {
		routes.ByAddress[r.Address] = r
	}
	tests := []struct {
		name    string
		rule    WorkRule
		slots   int
		service string
		routes  *Routes
		want    bool
	}{
		{"few slots, one tight objective", auto, 2, "tight", routes, true},
		{"many slots", auto, 3, "tight", routes, false},
		{"slots unknown", auto, 0, "tight", routes, false},
		{"loose objectives", auto, 2, "loose", routes, false},
		{"no objective", auto, 2, "no-objective", routes, false},
		{"unknown service", auto, 2, "other", routes, false},
		{"no document", auto, 2, "tight", nil, false},
		{"on", WorkRule{Mode: RuleOn}, 64, "loose", nil, true},
		{"off", WorkRule{Mode: RuleOff, FewSlots: 2, TightObjective: time.Second}, 2, "tight", routes, false},
		{"zero", WorkRule{}, 2, "tight", routes, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(test.rule.Active(test.slots, test.service, test.routes), test.want)
		})
	}
}

// TestPlacementModes guards against a placement setting that selects another rule than
// the one that it names.
func TestPlacementModes(t *testing.T) {
	is := is.New(t)
	for placement, want := range map[string]RuleMode{
		"": RuleAuto, PlacementAuto: RuleAuto, PlacementByWork: RuleOn, PlacementByCount: RuleOff,
	} {
		settings := ForwardingSettings{Placement: placement}
		settings.SetDefaults()
		is.Equal(len(settings.Validate()), 0)
		is.Equal(settings.PlacementRule(), WorkRule{Mode: want, FewSlots: DefaultFewSlots, TightObjective: DefaultTightObjective.Std()})
	}
	wrong := ForwardingSettings{Placement: "by-luck", FewSlots: -1, TightObjective: -1}
	wrong.SetDefaults()
	is.Equal(len(wrong.Validate()), 3)
}

// TestAdmissionModes guards against an admission setting that selects another rule than the
// one that it names, and against one that is not reported as unknown.
func TestAdmissionModes(t *testing.T) {
	for _, mode := range []RuleMode{RuleOn, RuleOff, RuleAuto, "by-work"} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			settings := ForwardingSettings{Admission: mode}
			settings.SetDefaults()
			is.Equal(settings.AdmissionRule(), WorkRule{Mode: mode, FewSlots: DefaultFewSlots, TightObjective: DefaultTightObjective.Std()})
			is.Equal(len(settings.Validate()) > 0, mode == "by-work")
		})
	}
	settings := ForwardingSettings{}
	settings.SetDefaults()
	if settings.Admission != RuleAuto {
		t.Errorf("the default is %q, want %q", settings.Admission, RuleAuto)
	}
}
