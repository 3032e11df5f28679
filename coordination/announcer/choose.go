package announcer

import (
	"cmp"
	"slices"

	"gooseberrymast/state/directory"
)

// AdviceCount is the number of balancers that an agent is advised to connect
// to.
const AdviceCount = 4

// Registrars returns the best AdviceCount balancers for an agent by rendezvous
// hashing, preferring those of its availability zone.
func Registrars(agent directory.Key, zone string, balancers []directory.Balancer) []directory.Balancer {
	return bestByRendezvous(agent, zone, balancers, AdviceCount)
}

// Parents selects the peers that a balancer should hold sessions with; the
// first is its source of updates. Parents are taken from the next higher level
// that has any balancers. At the highest level, they are the balancers with the
// lowest hashes, and the balancer with the lowest hash is the root. Parents
// returns nothing if there is no other balancer.
func Parents(self directory.Key, zone string, balancers []directory.Balancer) []directory.Balancer {
	others := slices.DeleteFunc(slices.Clone(balancers), func(b directory.Balancer) bool { return b.Key == self })
	level := directory.LevelOf(self.Hash())
	parents := bestByRendezvous(self, zone, lowestLevelAbove(others, level), directory.RegistrarCount)
	if len(parents) > 0 {
		return addFromTopLevels(parents, self, zone, others)
	}
	peers := atLevel(others, level)
	slices.SortFunc(peers, byHash)
	return addFromTopLevels(peers[:min(len(peers), directory.RegistrarCount)], self, zone, others)
}

// addFromTopLevels extends a list of parents to RegistrarCount with the best
// balancers of the highest levels.
func addFromTopLevels(parents []directory.Balancer, self directory.Key, zone string, others []directory.Balancer) []directory.Balancer {
	remaining := slices.DeleteFunc(slices.Clone(others), func(b directory.Balancer) bool { return slices.Contains(parents, b) })
	for len(parents) < directory.RegistrarCount && len(remaining) > 0 {
		parents = append(parents, bestByRendezvous(self, zone, topLevel(remaining), 1)...)
		last := parents[len(parents)-1]
		remaining = slices.DeleteFunc(remaining, func(b directory.Balancer) bool { return b == last })
	}
	return parents
}

// IsRoot reports whether a balancer is the root of the tree: the one with the
// lowest hash at the highest level.
func IsRoot(self directory.Key, balancers []directory.Balancer) bool {
	hash := self.Hash()
	level := directory.LevelOf(hash)
	for _, b := range balancers {
		if b.Level > level || b.Level == level && b.Hash < hash {
			return false
		}
	}
	return true
}

// Rank returns the rank of a balancer among the candidates for the lease of a
// cell: the balancers of the cell's zone, or all if it has none. It returns -1
// for a balancer that isn't a candidate.
func Rank(self directory.Key, cell directory.CellID, zone string, balancers []directory.Balancer) int {
	candidates := inZone(balancers, zone)
	if len(candidates) == 0 {
		candidates = balancers
	}
	rank := 0
	found := false
	score := self.RendezvousScore(uint64(cell))
	for _, b := range candidates {
		if b.Key == self {
			found = true
			continue
		}
		if b.Key.RendezvousScore(uint64(cell)) > score {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// bestByRendezvous returns up to count balancers with the highest rendezvous
// scores for a key, those of the zone first.
func bestByRendezvous(key directory.Key, zone string, balancers []directory.Balancer, count int) []directory.Balancer {
	type candidate struct {
		balancer directory.Balancer
		sameZone bool
		score    uint64
	}
	ranked := make([]candidate, 0, len(balancers))
	for _, b := range balancers {
		ranked = append(ranked, candidate{b, b.Zone == zone, b.Key.RendezvousScore(uint64(key))})
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		if a.sameZone != b.sameZone {
			if a.sameZone {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	chosen := make([]directory.Balancer, 0, count)
	for _, r := range ranked[:min(count, len(ranked))] {
		chosen = append(chosen, r.balancer)
	}
	return chosen
}

func byHash(a, b directory.Balancer) int {
	return cmp.Compare(a.Hash, b.Hash)
}

func inZone(balancers []directory.Balancer, zone string) []directory.Balancer {
	var balancersInZone []directory.Balancer
	for _, b := range balancers {
		if b.Zone == zone {
			balancersInZone = append(balancersInZone, b)
		}
	}
	return balancersInZone
}

func atLevel(balancers []directory.Balancer, level int) []directory.Balancer {
	var same []directory.Balancer
	for _, b := range balancers {
		if b.Level == level {
			same = append(same, b)
		}
	}
	return same
}

// lowestLevelAbove returns the balancers of the lowest level above the given
// one.
func lowestLevelAbove(balancers []directory.Balancer, level int) []directory.Balancer {
	lowest := -1
	for _, b := range balancers {
		if b.Level > level && (lowest < 0 || b.Level < lowest) {
			lowest = b.Level
		}
	}
	if lowest < 0 {
		return nil
	}
	return atLevel(balancers, lowest)
}

func topLevel(balancers []directory.Balancer) []directory.Balancer {
	top := -1
	for _, b := range balancers {
		top = max(top, b.Level)
	}
	return atLevel(balancers, top)
}
