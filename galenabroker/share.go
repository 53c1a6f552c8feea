package galenabroker

import (
	"cmp"
	"maps"
	"slices"

	"github.com/galenahead/galenahead"
)

// maxMinShares divides capacity by max-min fairness: no caller gets more than its
// demand, and a caller whose demand is not met gets at least as much as any
// other caller.
func maxMinShares(demand map[galenahead.CallerName]int, capacity int) map[galenahead.CallerName]float64 {
	callers := make([]galenahead.CallerName, 0, len(demand))
	for c := range demand {
		callers = append(callers, c)
	}
	slices.SortFunc(callers, func(a, b galenahead.CallerName) int {
		return cmp.Or(cmp.Compare(demand[a], demand[b]), cmp.Compare(a, b))
	})
	share := make(map[galenahead.CallerName]float64, len(demand))
	left := float64(max(capacity, 0))
	for i, c := range callers {
		share[c] = min(float64(demand[c]), left/float64(len(callers)-i))
		left -= share[c]
	}
	return share
}

// entryTargets returns how many slots each entry should hold. Each caller's share
// is divided among the entries in proportion to its demand there, so that a caller
// gains nothing from using more entries. Fractional slots are rounded by the
// largest remainders.
func entryTargets(demand []map[galenahead.CallerName]int, capacity int) []int {
	total := make(map[galenahead.CallerName]int)
	for _, d := range demand {
		for c, n := range d {
			total[c] += n
		}
	}
	share := maxMinShares(total, capacity)
	// Floating-point sums depend on the order of the terms, so that map order would
	// make the result random.
	callers := slices.Sorted(maps.Keys(total))
	exact := make([]float64, len(demand))
	for i, d := range demand {
		for _, c := range callers {
			if n := d[c]; n > 0 {
				exact[i] += share[c] * float64(n) / float64(total[c])
			}
		}
	}
	return roundShares(exact, capacity)
}

// roundShares rounds the shares down to whole slots and gives the remaining slots to
// the shares with the largest remainders.
func roundShares(exact []float64, capacity int) []int {
	const epsilon = 1e-9
	whole := make([]int, len(exact))
	order := make([]int, len(exact))
	sum, used := 0.0, 0
	for i, share := range exact {
		order[i] = i
		whole[i] = int(share + epsilon)
		used += whole[i]
		sum += share
	}
	remainder := min(int(sum+0.5), capacity) - used
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(exact[b]-float64(whole[b]), exact[a]-float64(whole[a]))
	})
	for _, i := range order[:min(max(remainder, 0), len(order))] {
		whole[i]++
	}
	return whole
}
