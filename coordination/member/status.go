package member

import (
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/asserter"
)

// origin is the sender of a forwarded query.
type origin struct {
	// session is zero for the member's own query.
	session messenger.Session
	id      uint64
}

// Query requests the report of the root of the tree. The answer appears in
// Actions with the same ID, or never if a peer fails.
func (m *Member) Query(now time.Time, id uint64) Actions {
	m.forwardQuery(0, &messenger.Query{ID: id, Hops: maxQueryHops})
	return m.finish(now, false)
}

func (m *Member) forwardQuery(from messenger.Session, query *messenger.Query) {
	if m.primary == 0 || m.primary == from || query.Hops <= 0 || !m.isBalancer() {
		m.sendAnswer(origin{from, query.ID}, messenger.Answer{Report: m.ownReport(), Root: m.Identity()})
		return
	}
	if len(m.queryOrigins) >= maxQueries {
		clear(m.queryOrigins) // Their answers are assumed lost.
	}
	m.lastQueryID++
	m.queryOrigins[m.lastQueryID] = origin{from, query.ID}
	m.send(m.primary, &messenger.Message{Query: &messenger.Query{ID: m.lastQueryID, Hops: query.Hops - 1}})
}

// maxQueries bounds the forwarded queries awaiting an answer.
const maxQueries = 1000

func (m *Member) forwardAnswer(answer *messenger.Answer) {
	to, found := m.queryOrigins[answer.ID]
	if !found {
		return
	}
	delete(m.queryOrigins, answer.ID)
	m.sendAnswer(to, *answer)
}

func (m *Member) sendAnswer(to origin, answer messenger.Answer) {
	answer.ID = to.id
	if to.session == 0 {
		m.actions.Answers = append(m.actions.Answers, answer)
		return
	}
	if m.registrar.Get(to.session) != nil {
		m.send(to.session, &messenger.Message{Answer: &answer})
	}
}

func (m *Member) ownReport() messenger.Report {
	return m.reporter.Sum(m.Identity(), m.adopter.Current.Number)
}

// Status describes the environment as known to this member, using the given
// report of the root, or the member's own if it is nil.
func (m *Member) Status(now time.Time, report *messenger.Report) gooseberrymast.Status {
	if report == nil {
		own := m.ownReport()
		report = &own
	}
	status := gooseberrymast.Status{
		Instance:       m.Identity(),
		Time:           now,
		Environment:    m.Environment,
		Revision:       m.adopter.Current.Number,
		Newest:         m.adopter.Newest,
		Fault:          m.adopter.Fault,
		Cells:          m.cellStatus(),
		StoreReachable: !m.storeDown,
	}
	if len(report.Counts) > 0 {
		status.Newest = max(status.Newest, report.Counts[0].Number)
	}
	revisions := map[gooseberrymast.Identity]uint64{}
	for _, count := range report.Counts {
		for _, identity := range count.Identities {
			revisions[identity] = count.Number
		}
	}
	status.Balancers = m.memberStatus(0, revisions)
	status.Services = m.serviceStatus(revisions)
	status.Revisions = m.revisionStatus(report, status, revisions)
	for name, count := range asserter.Violations() {
		status.Violations = append(status.Violations, gooseberrymast.ViolationStatus{Invariant: string(name), Count: count})
	}
	return status
}

func (m *Member) serviceStatus(revisions map[gooseberrymast.Identity]uint64) []gooseberrymast.ServiceStatus {
	names := map[gooseberrymast.ServiceTag]string{}
	for name := range m.adopter.Document.Services {
		names[gooseberrymast.TagOf(name)] = name
	}
	tags := m.Directory.Tags()
	for tag := range names {
		if !slices.Contains(tags, tag) {
			tags = append(tags, tag)
		}
	}
	services := make([]gooseberrymast.ServiceStatus, 0, len(tags))
	for _, tag := range tags {
		services = append(services, gooseberrymast.ServiceStatus{
			Name: names[tag], Tag: tag, Members: m.memberStatus(tag, revisions),
		})
	}
	slices.SortFunc(services, func(a, b gooseberrymast.ServiceStatus) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return int(a.Tag) - int(b.Tag)
	})
	return services
}

func (m *Member) memberStatus(tag gooseberrymast.ServiceTag, revisions map[gooseberrymast.Identity]uint64) []gooseberrymast.MemberStatus {
	members := m.Directory.Members(tag)
	statuses := make([]gooseberrymast.MemberStatus, 0, len(members))
	for _, member := range members {
		statuses = append(statuses, gooseberrymast.MemberStatus{
			Identity: member.Identity,
			Zone:     member.Zone,
			State:    member.State.String(),
			Suspect:  member.Suspect,
			Why:      noNewFlowsReason(member),
			Revision: revisions[member.Identity],
		})
	}
	return statuses
}

// noNewFlowsReason returns one sentence on why a process receives no new flows,
// or an empty string.
func noNewFlowsReason(member gooseberrymast.Member) string {
	switch {
	case member.Suspect:
		return "No balancer that it announced itself to has a session with it."
	case member.State == gooseberrymast.StateStarting:
		return "It has announced that it is starting."
	case member.State == gooseberrymast.StateLeaving:
		return "It has announced that it is leaving."
	}
	return ""
}

// revisionStatus lists the report's counts. Live processes that the report
// doesn't cover are counted as having no revision.
func (m *Member) revisionStatus(report *messenger.Report, status gooseberrymast.Status,
	revisions map[gooseberrymast.Identity]uint64) []gooseberrymast.RevisionStatus {
	var rows []gooseberrymast.RevisionStatus
	reported := 0
	none := gooseberrymast.RevisionStatus{}
	for _, count := range report.Counts {
		reported += count.Instances
		if count.Number == 0 {
			none.Instances += count.Instances
			none.Identities = count.Identities
			continue
		}
		row := gooseberrymast.RevisionStatus{Number: count.Number, Instances: count.Instances}
		if count.Number != status.Newest {
			row.Identities = count.Identities
		}
		rows = append(rows, row)
	}
	if uncounted := m.Directory.CountAvailable() - reported; uncounted > 0 {
		none.Instances += uncounted
		if reported <= len(revisions) {
			none.Identities = append(none.Identities, unreported(status, revisions)...)
		}
	}
	if none.Instances > 0 {
		none.Identities = none.Identities[:min(len(none.Identities), gooseberrymast.MaxStatusIdentities)]
		rows = append(rows, none)
	}
	return rows
}

// unreported lists the live processes that the report doesn't name.
func unreported(status gooseberrymast.Status, revisions map[gooseberrymast.Identity]uint64) []gooseberrymast.Identity {
	members := slices.Clone(status.Balancers)
	for _, service := range status.Services {
		members = append(members, service.Members...)
	}
	var identities []gooseberrymast.Identity
	for _, member := range members {
		if _, ok := revisions[member.Identity]; !ok && !member.Suspect {
			identities = append(identities, member.Identity)
		}
	}
	return identities
}

// cellStatus lists the cells. The holder is known only for cells that this
// member serves.
func (m *Member) cellStatus() []gooseberrymast.CellStatus {
	var cells []gooseberrymast.CellStatus
	for _, info := range m.Directory.Cells() {
		cell := gooseberrymast.CellStatus{Name: info.Name, Members: info.Entries}
		if l := m.leasers[info.ID]; l != nil {
			cell.Holder, cell.Version = l.Holder()
		}
		cells = append(cells, cell)
	}
	return cells
}
