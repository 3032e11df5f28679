package member

import "fmt"

func (w *world) debug() {
	for _, n := range w.nodes {
		if !n.alive {
			fmt.Println(n.index, "dead")
			continue
		}
		fmt.Println(n.index, "adv", n.m.advice, "primary", n.m.primary, "state", n.m.State(), "paused", n.paused)
		for _, s := range n.m.registrar.Sessions() {
			fmt.Printf("   s %d to %v peer %v ready %v probe %v takes %v age %v rev %d\n", s.ID, s.Address, s.Peer.Address(), s.Ready(), s.Probe, s.TakesNews, w.now.Sub(s.Received), s.Revision)
		}
		for a, d := range n.m.dials {
			fmt.Printf("   dial %v %+v next in %v\n", a, *d, d.next.Sub(w.now))
		}
	}
}
func (w *world) debugKey(i int) {
	k := w.nodes[i].m.self
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		p, ok := n.m.Directory.Lookup(k)
		fmt.Println("DBG", n.index, "knows", i, ok, n.m.Directory.Suspect(k), p)
	}
}
