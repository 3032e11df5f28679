package gooseberrymast

import "time"

// RuleMode states whether a WorkRule applies.
type RuleMode string

// The modes of a WorkRule.
const (
	RuleOn   RuleMode = "on"
	RuleOff  RuleMode = "off"
	RuleAuto RuleMode = "auto"
)

// WorkRule states for which servers decisions depend on the expected work of
// requests. The zero value applies to none.
type WorkRule struct {
	Mode RuleMode
	// FewSlots and TightObjective bound the servers that RuleAuto applies to.
	FewSlots       int
	TightObjective time.Duration
}

// Active reports whether the rule applies to a server that announces a number of slots
// (zero while it is unknown) and belongs to a service of the routes. RuleAuto requires at
// most FewSlots slots and a route of the service with an objective of at most
// TightObjective: there one misplaced request costs a large part of the objective.
func (r WorkRule) Active(slots int, service string, routes *Routes) bool {
	switch r.Mode {
	case RuleOn:
		return true
	case RuleAuto:
		return slots > 0 && slots <= r.FewSlots && r.isTight(service, routes)
	}
	return false
}

func (r WorkRule) isTight(service string, routes *Routes) bool {
	if routes == nil {
		return false
	}
	for _, route := range routes.ByAddress {
		if route.Objective > 0 && route.Objective <= r.TightObjective && route.Allows(service) {
			return true
		}
	}
	return false
}
