package soaker

import (
	"math/rand/v2"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// routeAddress returns the address of the route with the given number.
func routeAddress(number int) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, byte(number + 1)}, Port: 443}
}

// setInitialRoutes sets the routes of the first document.
func (s *soak) setInitialRoutes() {
	for number := range routeCount {
		s.routes = append(s.routes, gooseberrymast.Route{
			Address: routeAddress(number), Idempotent: number%2 == 0, Timeout: requestDeadline,
			Backends: []gooseberrymast.WeightedService{{Service: services[number%len(services)], Weight: 1}},
		})
	}
}

// currentRoutes returns the routes of the latest document.
func (s *soak) currentRoutes() []gooseberrymast.Route {
	s.documentMu.Lock()
	defer s.documentMu.Unlock()
	return slices.Clone(s.routes)
}

// changeRoutes adds a route, removes one or moves one to another service, and
// publishes the document. The first fixedRoutes routes are never changed.
func (s *soak) changeRoutes(random *rand.Rand) error {
	s.documentMu.Lock()
	changed := slices.Clone(s.routes)
	const fixedRoutes = 2
	index := fixedRoutes + random.IntN(len(changed)-fixedRoutes+1)
	switch {
	case index == len(changed):
		changed = append(changed, gooseberrymast.Route{
			Address: routeAddress(routeCount + random.IntN(routeCount)), Idempotent: true, Timeout: requestDeadline,
			Backends: []gooseberrymast.WeightedService{{Service: services[random.IntN(len(services))], Weight: 1}},
		})
		slices.SortFunc(changed, func(a, b gooseberrymast.Route) int { return a.Address.Compare(b.Address) })
		changed = slices.CompactFunc(changed, func(a, b gooseberrymast.Route) bool { return a.Address == b.Address })
	case random.IntN(2) == 0 && len(changed) > fixedRoutes+1:
		changed = slices.Delete(changed, index, index+1)
	default:
		changed[index].Backends = []gooseberrymast.WeightedService{{Service: services[random.IntN(len(services))], Weight: 1}}
	}
	s.routes = changed
	s.documentMu.Unlock()
	return s.publishDocument()
}

// publishDocument writes the document to the store.
func (s *soak) publishDocument() error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.documentMu.Lock()
	defer s.documentMu.Unlock()
	s.documentNumber++
	text, err := platform.FormatDocument(s.documentNumber, s.routes, services, warmUps())
	if err != nil {
		return err
	}
	allowed := map[gooseberrymast.Endpoint][]string{}
	for _, route := range s.routes {
		allowed[route.Address] = append(allowed[route.Address], route.Backends[0].Service)
	}
	// Recorded before the write, since an instance may read and apply the document
	// before the write is acknowledged.
	s.checker.RecordDocument(allowed, time.Now())
	s.store.objects.Set(platform.DocumentKey, text)
	return nil
}

// alternativeService returns the other service for an instance whose server has
// left, or its current service if no other server of that service remains.
func (s *soak) alternativeService(leaving *instance) string {
	remaining := 0
	for _, i := range s.instances {
		if server := i.currentServer(); server != nil && i != leaving && server.service == leaving.settings.Service {
			remaining++
		}
	}
	if remaining == 0 {
		return leaving.settings.Service
	}
	return services[(slices.Index(services, leaving.settings.Service)+1)%len(services)]
}
