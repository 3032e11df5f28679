package assembler

import (
	"net/netip"

	"github.com/phuslu/log"

	"gooseberrymast"
	"gooseberrymast/protocol/parser"
	"gooseberrymast/transport/controller"
	"gooseberrymast/transport/poller"
)

// setUpMembership creates the controller, which takes part in the membership, and the
// poller of the backend server.
func (a *Agent) setUpMembership() {
	a.controller = controller.New(a.controllerConfig())
	a.controller.Attach(a.listener)
	a.healthy.Store(a.config.Settings.Backend.HealthPath == "")
	backend := a.config.Settings.Backend
	a.poller = &poller.Poller{
		Address:    backend.Address,
		HealthPath: backend.HealthPath,
		LoadPath:   backend.LoadPath,
		Timer:      a.config.Timer,
		Observe:    a.handlePoll,
	}
}

// controllerConfig returns the configuration of the agent's controller.
func (a *Agent) controllerConfig() controller.Config {
	settings := a.config.Settings
	return controller.Config{
		Environment: settings.Environment,
		Record: gooseberrymast.Record{
			Identity: a.receiver.Identity(),
			Control:  a.listener.Address(),
			Role:     gooseberrymast.RoleAgent,
			Service:  a.tag,
			Zone:     settings.Zone,
			Weight:   uint16(settings.Weight),
		},
		Seeds:        settings.Seeds,
		CellsPerZone: settings.CellsPerZone,
		Keys:         a.keys.Load,
		Timer:        a.config.Timer,
		Seed:         a.config.Seed + uint64(a.receiver.Identity().Address.Port()),
		Parse:        parser.Document,
		OnTable:      a.setTable,
		OnRevision:   a.setDocument,
		OnBalancers:  a.receiver.SetBalancers,
		OnIdentity:   func(identity gooseberrymast.Identity) { a.raisedIdentity <- identity },
	}
}

// setTable applies a new snapshot of the members.
func (a *Agent) setTable(table *gooseberrymast.Table) {
	a.table.Store(table)
	a.receiver.SetTable(table)
	a.applyMembers()
}

// applyMembers restricts new flows and hand-overs to the members in availability
// zones that the document allows. It is called after each change of the table or the
// document; calls must not overlap.
func (a *Agent) applyMembers() {
	table := a.table.Load()
	allowed := a.document.Load().Restrict(table, a.config.Settings.Service).Members(a.tag)
	a.receiver.SetBarred(identitiesNotIn(table.Members(a.tag), routableMembers(allowed)))
	a.driver.SetPeers(allowed)
	a.flowEvener.updateMembers(allowed)
}

// routableMembers returns the members that may receive new flows.
func routableMembers(members []gooseberrymast.Member) []gooseberrymast.Member {
	var result []gooseberrymast.Member
	for _, member := range members {
		if member.Routable() {
			result = append(result, member)
		}
	}
	return result
}

// identitiesNotIn returns the identities of the members in all that are not in some.
// Both must be sorted by address.
func identitiesNotIn(all, some []gooseberrymast.Member) []gooseberrymast.Identity {
	var ids []gooseberrymast.Identity
	for _, member := range all {
		if len(some) > 0 && some[0].Identity == member.Identity {
			some = some[1:]
			continue
		}
		ids = append(ids, member.Identity)
	}
	return ids
}

// handlePeerLoad receives the load that a peer reported in a reply.
func (a *Agent) handlePeerLoad(peer gooseberrymast.Identity, load gooseberrymast.Load) {
	a.driver.HandlePeerLoad(peer, load)
	a.flowEvener.handleLoad(peer, load)
}

// setDocument applies a revision of the document. If the document does not have the
// agent's service, the service's limits stay unchanged.
func (a *Agent) setDocument(revision uint64, document gooseberrymast.Document) {
	a.setZones(revision, document)
	service, ok := document.Services[a.config.Settings.Service]
	if !ok {
		log.Warn().Uint64("revision", revision).Str("service", a.config.Settings.Service).
			Msg("the document does not name this agent's service; its limits stay as they were")
		return
	}
	service.Zones = document.ZonesOf(a.config.Settings.Service)
	a.service.Store(&service)
	a.revision.Store(revision)
	a.driver.Configure(revision, service)
}

// setZones applies the availability zones that a revision allows.
func (a *Agent) setZones(revision uint64, document gooseberrymast.Document) {
	settings := a.config.Settings
	excluded := !document.Allows(settings.Service, settings.Zone)
	if excluded {
		log.Warn().Uint64("revision", revision).Str("service", settings.Service).Str("zone", settings.Zone).
			Msg("the document does not allow the service in this agent's availability zone; it gets no new flows")
	}
	a.zoneExcluded.Store(excluded)
	a.document.Store(&document)
	a.applyMembers()
}

// currentService returns the service's part of the document in force, or the defaults
// if there is none yet.
func (a *Agent) currentService() gooseberrymast.Service {
	if service := a.service.Load(); service != nil {
		return *service
	}
	var defaults gooseberrymast.Service
	defaults.SetDefaults()
	return defaults
}

// locate returns the control address of another agent of the service.
func (a *Agent) locate(peer gooseberrymast.Identity) (netip.AddrPort, bool) {
	for _, member := range a.table.Load().Members(a.tag) {
		if member.Identity == peer {
			return member.Control, true
		}
	}
	return netip.AddrPort{}, false
}
