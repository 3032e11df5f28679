package regulator

import "gooseberrymast"

// maxRoutes bounds the routes whose least share is kept.
const maxRoutes = 64

// routeState is what is known of the flows of one route.
type routeState struct {
	address gooseberrymast.Endpoint
	// admitted counts the flows that were admitted.
	admitted decayed
}

// route returns the state of a route, or nil if there are too many.
func (r *Regulator) route(address gooseberrymast.Endpoint) *routeState {
	for _, state := range r.routes {
		if state.address == address {
			return state
		}
	}
	if len(r.routes) >= maxRoutes {
		return nil
	}
	state := &routeState{address: address}
	r.routes = append(r.routes, state)
	return state
}
