package main

import (
	"fmt"
	"strings"

	"gooseberrymast"
)

// printStatus prints a balancer's status as tables, limited to the part that the
// filter selects.
func printStatus(out *printer, status gooseberrymast.Status, filter gooseberrymast.StatusFilter) error {
	out.printf("environment %s as known by %s at %s\n", printable(status.Environment), status.Instance, formatTime(status.Time))
	out.printf("%s\n", inForceLine(status))
	if status.Fault != "" {
		out.printf("revision %d is not in force at this balancer: %s\n", status.Newest, printable(status.Fault))
	}
	if !status.StoreReachable {
		out.printf("the store did not answer this balancer's last call\n")
	}
	table := newTable(out)
	printRevisions(&table.printer, status)
	for _, service := range status.Services {
		title := "SERVICE " + serviceName(service)
		if filter.Summary {
			printCounts(&table.printer, title, service.Counts)
		} else {
			printMembers(&table.printer, title, service.Members)
		}
	}
	if filter.Service == "" {
		if filter.Summary {
			printCounts(&table.printer, "BALANCERS", status.BalancerCounts)
		} else {
			printMembers(&table.printer, "BALANCERS", status.Balancers)
		}
		printCells(&table.printer, status.Cells)
	}
	printViolations(&table.printer, status.Violations)
	return table.flush()
}

func inForceLine(status gooseberrymast.Status) string {
	switch {
	case status.Newest == 0:
		return "no revision is in force"
	case status.InForceEverywhere():
		return fmt.Sprintf("revision %d is in force everywhere", status.Newest)
	}
	return fmt.Sprintf("revision %d is not in force everywhere yet", status.Newest)
}

func printRevisions(table *printer, status gooseberrymast.Status) {
	table.printf("\nREVISION\tINSTANCES\tNOT THE NEWEST AT\n")
	for _, revision := range status.Revisions {
		name := fmt.Sprint(revision.Number)
		if revision.Number == 0 {
			name = "none"
		}
		table.printf("%s\t%d\t%s\n", name, revision.Instances, identities(revision))
	}
}

// identities returns the identities listed for a revision, and how many more
// instances have it.
func identities(revision gooseberrymast.RevisionStatus) string {
	names := make([]string, 0, len(revision.Identities))
	for _, identity := range revision.Identities {
		names = append(names, identity.String())
	}
	if more := revision.Instances - len(names); len(names) > 0 && more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, " ")
}

func serviceName(service gooseberrymast.ServiceStatus) string {
	if service.Name == "" {
		return fmt.Sprintf("with tag %d (not in the document)", service.Tag)
	}
	return printable(service.Name)
}

func printMembers(table *printer, title string, members []gooseberrymast.MemberStatus) {
	table.printf("\n%s\tZONE\tSTATE\tREVISION\tWHY NO NEW FLOWS\n", title)
	for _, member := range members {
		state := stateName(member.State, member.Suspect)
		table.printf("%s\t%s\t%s\t%d\t%s\n", member.Identity, printable(member.Zone), state, member.Revision, printable(member.Why))
	}
	if len(members) == 0 {
		table.printf("none\t\t\t\t\n")
	}
}

func stateName(state string, suspect bool) string {
	name := printable(state)
	if suspect {
		name += ", suspect"
	}
	return name
}

func printCounts(table *printer, title string, counts []gooseberrymast.MemberCount) {
	table.printf("\n%s\tZONE\tSTATE\tCOUNT\n", title)
	for _, count := range counts {
		table.printf("\t%s\t%s\t%d\n", printable(count.Zone), stateName(count.State, count.Suspect), count.Count)
	}
	if len(counts) == 0 {
		table.printf("none\t\t\t\n")
	}
}

func printCells(table *printer, cells []gooseberrymast.CellStatus) {
	table.printf("\nCELL\tHOLDER\tMEMBERS\tVERSION\n")
	for _, cell := range cells {
		holder := "none"
		if !cell.Holder.IsZero() {
			holder = cell.Holder.String()
		}
		table.printf("%s\t%s\t%d\t%d\n", printable(cell.Name), holder, cell.Members, cell.Version)
	}
}

func printViolations(table *printer, violations []gooseberrymast.ViolationStatus) {
	if len(violations) == 0 {
		return
	}
	table.printf("\nVIOLATED INVARIANT\tCOUNT\n")
	for _, violation := range violations {
		table.printf("%s\t%d\n", printable(violation.Invariant), violation.Count)
	}
}

// printAgentStatus prints the status that an agent reports of itself.
func printAgentStatus(out *printer, status gooseberrymast.AgentStatus) {
	out.printf("agent %s of %s in %s, environment %s, at %s\n", status.Instance,
		printable(status.Service), printable(status.Zone), printable(status.Environment), formatTime(status.Time))
	healthy := "healthy"
	if !status.Healthy {
		healthy = "not healthy"
	}
	out.printf("state %s, revision %d in force, backend server %s\n", printable(status.State), status.Revision, healthy)
	out.printf("flows %d, streams %d, requests running %d, queued %d\n", status.Flows, status.Streams, status.Running, status.Queued)
}
