package watching

// VM is one VM of the ranking.
type VM struct {
	Address    string
	DataCentre string
}

// headsPerDataCentre is how many VMs of a data centre read from VMs of other ones. Traffic
// between data centres is billed, so that the others read from these heads; the second one
// covers a failure of the first.
const headsPerDataCentre = 2

// Tree is an ordered list of VMs in which each reads from an earlier one.
type Tree struct {
	// Ranked holds the VMs' addresses, best first; the first two are the roots.
	Ranked []string
	// RootReaders is the number of readers of each root, Readers that of each other VM.
	RootReaders, Readers int
}

// parent returns the place of the VM that the one at the given place reads from first.
func (t Tree) parent(place int) int {
	n := place - watchers
	if n < watchers*t.RootReaders {
		return n / t.RootReaders
	}
	return watchers + (n-watchers*t.RootReaders)/t.Readers
}

// A VM has at most eight readers: a large configuration is about 10 KB compressed,
// and eight readers get it over a link of 10 Mbit/s in 60 ms. Heads of a data centre have
// readers in two trees.
const (
	watcherReaders   = 8
	headReaders      = 2
	localHeadReaders = 6
	localReaders     = 8
)

// Place is the position of one VM in its tree.
type Place struct {
	Tree
	// Rank is the VM's index in Ranked.
	Rank int
	// Fallback lists the VMs to read from if no VM of the tree has current state.
	Fallback []string
}

// PlaceOf returns a VM's place. The watchers and the next two VMs of each data centre, its
// heads, form one tree over all data centres. Each data centre has a tree of its own for the
// others, with the heads as roots. Both trees keep the order of the ranking, so that no two VMs
// read from each other.
func PlaceOf(ranked []VM, self int) Place {
	seen := make(map[string]int)
	top := Tree{RootReaders: watcherReaders, Readers: headReaders}
	local := Tree{RootReaders: localHeadReaders, Readers: localReaders}
	inTop, rank := false, 0
	for i, vm := range ranked {
		own := i >= watchers && vm.DataCentre == ranked[self].DataCentre
		head := i < watchers || seen[vm.DataCentre] < headsPerDataCentre
		if i >= watchers {
			seen[vm.DataCentre]++
		}
		if i == self {
			inTop, rank = head, len(local.Ranked)
			if head {
				rank = len(top.Ranked)
			}
		}
		if head {
			top.Ranked = append(top.Ranked, vm.Address)
		}
		if own {
			local.Ranked = append(local.Ranked, vm.Address)
		}
	}
	if inTop {
		return Place{Tree: top, Rank: rank}
	}
	return Place{Tree: local, Rank: rank, Fallback: top.Ranked[:watchers]}
}
