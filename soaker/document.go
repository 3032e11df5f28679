package soaker

import (
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// routeAddress gives the address of a route by its number.
func routeAddress(number int) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, byte(number + 1)}, Port: 443}
}

// firstRoutes are the routes of the first document.
func (s *soak) firstRoutes() {
	for number := range routeCount {
		s.routes = append(s.routes, gooseberrymast.Route{
			Address: routeAddress(number), Idempotent: number%2 == 0, Timeout: requestDeadline,
			Backends: []gooseberrymast.WeightedService{{Service: services[number%len(services)], Weight: 1}},
		})
	}
}

// currentRoutes gives the routes of the latest document.
func (s *soak) currentRoutes() []gooseberrymast.Route {
	s.documentMu.Lock()
	defer s.documentMu.Unlock()
	return slices.Clone(s.routes)
}

// putDocument changes the document: a route is added or dropped, or leads to
// another service. The first two routes stay.
func (s *soak) putDocument(random *rand.Rand) error {
	s.documentMu.Lock()
	changed := slices.Clone(s.routes)
	const staying = 2
	index := staying + random.IntN(len(changed)-staying+1)
	switch {
	case index == len(changed):
		changed = append(changed, gooseberrymast.Route{
			Address: routeAddress(routeCount + random.IntN(routeCount)), Idempotent: true, Timeout: requestDeadline,
			Backends: []gooseberrymast.WeightedService{{Service: services[random.IntN(len(services))], Weight: 1}},
		})
		slices.SortFunc(changed, func(a, b gooseberrymast.Route) int { return a.Address.Compare(b.Address) })
		changed = slices.CompactFunc(changed, func(a, b gooseberrymast.Route) bool { return a.Address == b.Address })
	case random.IntN(2) == 0 && len(changed) > staying+1:
		changed = slices.Delete(changed, index, index+1)
	default:
		changed[index].Backends = []gooseberrymast.WeightedService{{Service: services[random.IntN(len(services))], Weight: 1}}
	}
	s.routes = changed
	s.documentMu.Unlock()
	return s.putRoutes()
}

// putRoutes writes the document to the store.
func (s *soak) putRoutes() error {
	s.documentMu.Lock()
	defer s.documentMu.Unlock()
	text, err := platform.FormatDocument(s.routes, services)
	if err != nil {
		return err
	}
	allowed := map[gooseberrymast.Endpoint][]string{}
	for _, route := range s.routes {
		allowed[route.Address] = append(allowed[route.Address], route.Backends[0].Service)
	}
	// Whoever reads the document at once is ahead of the acknowledgement.
	s.checker.Document(allowed, time.Now())
	s.store.objects.Set(platform.DocumentKey, text)
	return nil
}

// anotherService gives the other service for an instance whose server left, if
// the service that it leaves keeps other servers.
func (s *soak) anotherService(leaves *instance) string {
	remaining := 0
	for _, i := range s.instances {
		if server := i.currentServer(); server != nil && i != leaves && server.service == leaves.settings.Service {
			remaining++
		}
	}
	if remaining == 0 {
		return leaves.settings.Service
	}
	return services[(slices.Index(services, leaves.settings.Service)+1)%len(services)]
}
