package watching

// VM is one VM of the ranking.
type VM struct {
	Address    string
	DataCentre string
}

// headsEach is how many VMs of a data centre read from other ones: bytes between data centres
// are billed, and the others read from these. A second one for when one dies.
const headsEach = 2

// Tree is VMs that read from those before them.
type Tree struct {
	// Ranked are the VMs, best first; the first two are its roots.
	Ranked []string
	// RootReaders is how many read from a root, and Readers how many from each of the others.
	RootReaders, Readers int
}

// parent is the place of the VM that the one at a place reads from first.
func (t Tree) parent(place int) int {
	n := place - direct
	if n < direct*t.RootReaders {
		return n / t.RootReaders
	}
	return direct + (n-direct*t.RootReaders)/t.Readers
}

// A VM has at most eight readers: a large configuration is some 10 KB packed, and eight
// readers get it over a link of 10 Mbit/s in 60 ms. Those that head a data centre stand in
// two trees.
const (
	watcherReaders = 8
	headReaders    = 2
	nearHead       = 6
	nearReaders    = 8
)

// Place is where one VM stands.
type Place struct {
	Tree
	// Rank is its place in the tree.
	Rank int
	// Last are those to read from when none of the tree has word.
	Last []string
}

// PlaceOf finds a VM's place. Those that watch the platform and the next two of each data
// centre, its heads, stand in one tree over all data centres; the others in one of their own
// data centre, whose roots are the heads. Both have the order of the ranking, so that no two
// VMs read from each other.
func PlaceOf(ranked []VM, self int) Place {
	seen := make(map[string]int)
	top := Tree{RootReaders: watcherReaders, Readers: headReaders}
	near := Tree{RootReaders: nearHead, Readers: nearReaders}
	inTop, rank := false, 0
	for i, vm := range ranked {
		own := i >= direct && vm.DataCentre == ranked[self].DataCentre
		head := i < direct || seen[vm.DataCentre] < headsEach
		if i >= direct {
			seen[vm.DataCentre]++
		}
		if i == self {
			inTop, rank = head, len(near.Ranked)
			if head {
				rank = len(top.Ranked)
			}
		}
		if head {
			top.Ranked = append(top.Ranked, vm.Address)
		}
		if own {
			near.Ranked = append(near.Ranked, vm.Address)
		}
	}
	if inTop {
		return Place{Tree: top, Rank: rank}
	}
	return Place{Tree: near, Rank: rank, Last: top.Ranked[:direct]}
}
