package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SubsetSize is the maximum number of targets of one service that a subscriber
// gets.
const SubsetSize = 24

// candidate is one target with its weight for one subscriber.
type candidate struct {
	instance string
	domain   string
	weight   uint64
}

// subset chooses at most SubsetSize of members (instance to failure domain) by
// rendezvous hashing: each subscriber ranks the targets in its own order and takes
// them from the failure domains in turn. A target that joins or leaves changes at
// most one target of a subset in each failure domain.
func subset(subscriber string, members map[string]string) map[string]struct{} {
	chosen := make(map[string]struct{}, min(len(members), SubsetSize))
	if len(members) <= SubsetSize {
		for instance := range members {
			chosen[instance] = struct{}{}
		}
		return chosen
	}
	domains := rank(subscriber, members)
	for round := 0; len(chosen) < SubsetSize; round++ {
		for _, candidates := range domains {
			if round < len(candidates) && len(chosen) < SubsetSize {
				chosen[candidates[round].instance] = struct{}{}
			}
		}
	}
	return chosen
}

// rank returns the candidates of each failure domain, highest weight first. The
// order of the domains depends on the subscriber, so that the remainder of an
// uneven division is spread over the domains.
func rank(subscriber string, members map[string]string) [][]candidate {
	byDomain := make(map[string][]candidate)
	for instance, domain := range members {
		c := candidate{instance, domain, weight(subscriber, instance)}
		byDomain[domain] = append(byDomain[domain], c)
	}
	domains := make([][]candidate, 0, len(byDomain))
	for _, candidates := range byDomain {
		slices.SortFunc(candidates, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.instance, b.instance))
		})
		domains = append(domains, candidates)
	}
	slices.SortFunc(domains, func(a, b []candidate) int {
		x := weight(subscriber, a[0].domain)
		y := weight(subscriber, b[0].domain)
		return cmp.Or(cmp.Compare(y, x), cmp.Compare(a[0].domain, b[0].domain))
	})
	return domains
}

// weight returns the rendezvous hash of name for subscriber.
func weight(subscriber, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(subscriber)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
