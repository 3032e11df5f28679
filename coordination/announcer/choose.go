package announcer

import (
	"cmp"
	"slices"

	"gooseberrymast/state/directory"
)

// AdviceCount is the number of balancers that an agent is told of.
const AdviceCount = 4

// Registrars ranks the balancers for an agent by rendezvous hashing, those of
// its availability zone first, and gives the best.
func Registrars(agent directory.Key, zone string, balancers []directory.Balancer) []directory.Balancer {
	return best(agent, zone, balancers, AdviceCount)
}

// Parents chooses the peers that a balancer holds sessions with, the one it
// takes its news from first. A balancer's parents are of the next level that
// has any balancers; at the top level the balancer with the lowest hash is
// the root. It gives nothing for a balancer that knows of no other.
func Parents(self directory.Key, zone string, balancers []directory.Balancer) []directory.Balancer {
	others := slices.DeleteFunc(slices.Clone(balancers), func(b directory.Balancer) bool { return b.Key == self })
	level := directory.LevelOf(self.Hash())
	parents := best(self, zone, lowestAbove(others, level), directory.RegistrarCount)
	if len(parents) > 0 {
		return fill(parents, self, zone, others)
	}
	peers := atLevel(others, level)
	slices.SortFunc(peers, byHash)
	return fill(peers[:min(len(peers), directory.RegistrarCount)], self, zone, others)
}

// fill adds the best of the highest balancers to a list of parents that is too
// short.
func fill(parents []directory.Balancer, self directory.Key, zone string, others []directory.Balancer) []directory.Balancer {
	rest := slices.DeleteFunc(slices.Clone(others), func(b directory.Balancer) bool { return slices.Contains(parents, b) })
	for len(parents) < directory.RegistrarCount && len(rest) > 0 {
		parents = append(parents, best(self, zone, highest(rest), 1)...)
		last := parents[len(parents)-1]
		rest = slices.DeleteFunc(rest, func(b directory.Balancer) bool { return b == last })
	}
	return parents
}

// IsRoot reports whether a balancer is the root of the tree.
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

// Rank gives the place of a balancer among the candidates for the lease of a
// cell: those of the cell's zone, or all when the zone has none. It gives -1
// for a balancer that isn't a candidate.
func Rank(self directory.Key, cell directory.CellID, zone string, balancers []directory.Balancer) int {
	candidates := inZone(balancers, zone)
	if len(candidates) == 0 {
		candidates = balancers
	}
	rank := 0
	found := false
	score := self.HashWith(uint64(cell))
	for _, b := range candidates {
		if b.Key == self {
			found = true
			continue
		}
		if b.Key.HashWith(uint64(cell)) > score {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

func best(key directory.Key, zone string, balancers []directory.Balancer, count int) []directory.Balancer {
	type scored struct {
		balancer directory.Balancer
		near     bool
		score    uint64
	}
	ranked := make([]scored, 0, len(balancers))
	for _, b := range balancers {
		ranked = append(ranked, scored{b, b.Zone == zone, b.Key.HashWith(uint64(key))})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if a.near != b.near {
			if a.near {
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
	var near []directory.Balancer
	for _, b := range balancers {
		if b.Zone == zone {
			near = append(near, b)
		}
	}
	return near
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

// lowestAbove gives the balancers of the lowest level above one.
func lowestAbove(balancers []directory.Balancer, level int) []directory.Balancer {
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

func highest(balancers []directory.Balancer) []directory.Balancer {
	top := -1
	for _, b := range balancers {
		top = max(top, b.Level)
	}
	return atLevel(balancers, top)
}
