package galenafleet

import "github.com/galenahead/galenahead"

// SpreadPosition returns the place of an instance in a fixed random order, from 0 to 1. A
// share of the instances consists of those with lower positions.
func SpreadPosition(id galenahead.InstanceID) float64 {
	return float64(spreadWeight(string(id), "")%1024) / 1024
}

// SpreadOver returns the index of the address that a key is assigned to, or -1 if
// there is none for which ok returns true. Few assignments change with the list (rendezvous
// hashing).
func SpreadOver[K ~string](key K, n int, addr func(i int) string, ok func(i int) bool) int {
	best, bestWeight := -1, uint64(0)
	for i := range n {
		if !ok(i) {
			continue
		}
		if w := spreadWeight(string(key), addr(i)); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

func spreadWeight(key, addr string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a
	x := uint64(offset)
	for _, s := range [2]string{addr, key} {
		for i := range len(s) {
			x = (x ^ uint64(s[i])) * prime
		}
	}
	// The last bytes of the input hardly change the upper bits.
	x = (x ^ x>>32) * 0x9e3779b97f4a7c15
	return x ^ x>>29
}
