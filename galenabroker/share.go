package galenabroker

import (
	"cmp"
	"maps"
	"slices"

	"github.com/galenahead/galenahead"
)

// maxMin shares capacity out by max-min fairness: no caller gets more than its
// demand, and a caller whose demand is not met gets at least as much as any
// other caller.
func maxMin(demand map[galenahead.CallerName]int, capacity int) map[galenahead.CallerName]float64 {
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

// targets returns how many slots each entry should hold. A caller's share is
// split over the entries by its demand there, so that a caller gains nothing
// from using more entries. Fractions go to the entries with the largest ones.
func targets(demand []map[galenahead.CallerName]int, capacity int) []int {
	total := make(map[galenahead.CallerName]int)
	for _, d := range demand {
		for c, n := range d {
			total[c] += n
		}
	}
	share := maxMin(total, capacity)
	// Sums of floats depend on their order, which must not be that of a map.
	callers := slices.Sorted(maps.Keys(total))
	exact := make([]float64, len(demand))
	for i, d := range demand {
		for _, c := range callers {
			if n := d[c]; n > 0 {
				exact[i] += share[c] * float64(n) / float64(total[c])
			}
		}
	}
	return roundDown(exact, capacity)
}

// roundDown rounds the shares to whole slots and distributes the rest by the
// largest remainders.
func roundDown(exact []float64, capacity int) []int {
	const epsilon = 1e-9
	whole := make([]int, len(exact))
	order := make([]int, len(exact))
	sum, used := 0.0, 0
	for i, x := range exact {
		order[i] = i
		whole[i] = int(x + epsilon)
		used += whole[i]
		sum += x
	}
	rest := min(int(sum+0.5), capacity) - used
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(exact[b]-float64(whole[b]), exact[a]-float64(whole[a]))
	})
	for _, i := range order[:min(max(rest, 0), len(order))] {
		whole[i]++
	}
	return whole
}
