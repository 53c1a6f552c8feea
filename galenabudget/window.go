package galenabudget

import (
	"sync"

	"github.com/galenahead/galenahead"
)

// serviceState holds the windows of one service.
type serviceState struct {
	mu      sync.Mutex
	callers map[galenahead.CallerName]*window
}

// window returns the window of a caller. Once maxCallers callers have a window,
// all further ones share the window of OtherCallers.
func (s *serviceState) window(caller galenahead.CallerName, maxCallers int) *window {
	w := s.callers[caller]
	if w != nil {
		return w
	}
	if len(s.callers) >= maxCallers {
		caller = OtherCallers
	}
	if s.callers[caller] == nil {
		s.callers[caller] = &window{}
	}
	return s.callers[caller]
}

// counts holds the number of requests by Result.
type counts [resultCount]int64

// window holds the counts of the newest buckets in a ring buffer. The bucket
// with number n is at index n modulo bucketCount.
type window struct {
	newestBucket int64
	buckets      [bucketCount][resultCount]uint32
}

func (w *window) add(bucket int64, result Result) {
	w.advance(bucket)
	if bucket > w.newestBucket-bucketCount {
		w.buckets[bucket%bucketCount][result]++
	}
}

// advance clears the buckets after the newest one, up to and including bucket,
// which becomes the newest.
func (w *window) advance(bucket int64) {
	if bucket <= w.newestBucket {
		return
	}
	first := max(w.newestBucket+1, bucket-bucketCount+1)
	for i := first; i <= bucket; i++ {
		w.buckets[i%bucketCount] = [resultCount]uint32{}
	}
	w.newestBucket = bucket
}

// sum returns the totals of the window that ends with bucket.
func (w *window) sum(bucket int64) counts {
	w.advance(bucket)
	var totals counts
	for _, bucketCounts := range w.buckets {
		for result, count := range bucketCounts {
			totals[result] += int64(count)
		}
	}
	return totals
}
