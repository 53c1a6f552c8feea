package galenajob

import (
	"slices"
)

// OccurrenceSet is a set of occurrences of a recurring job, most of which follow each other from the
// first one on. It is immutable. Its zero value is empty.
type OccurrenceSet struct {
	// Before is the first occurrence that may not be in the set. Others holds those after it in
	// order.
	Before int   `cbor:"1,keyasint,omitempty"`
	Others []int `cbor:"2,keyasint,omitempty"`
}

// Has reports whether the set holds an occurrence.
func (o OccurrenceSet) Has(k int) bool {
	if k < o.Before {
		return k >= 0
	}
	_, found := slices.BinarySearch(o.Others, k)
	return found
}

// With returns the set with one more occurrence.
func (o OccurrenceSet) With(k int) OccurrenceSet {
	i, found := slices.BinarySearch(o.Others, k)
	if k < o.Before || found {
		return o
	}
	others := slices.Insert(slices.Clone(o.Others), i, k)
	n := 0
	for n < len(others) && others[n] == o.Before {
		o.Before++
		n++
	}
	o.Others = slices.Clone(others[n:])
	if len(o.Others) == 0 {
		o.Others = nil
	}
	return o
}

// Empty reports whether the set holds nothing.
func (o OccurrenceSet) Empty() bool { return o.Before == 0 && len(o.Others) == 0 }

// Overlaps bounds the occurrences of recurring jobs that are due before earlier ones of their job have
// ended. It is a galenaintake.Room.
type Overlaps interface {
	// Take takes room for an occurrence of a holder, and reports whether there is any.
	Take(holder string, bytes int64) bool
	// Force takes room for an occurrence that may run already, and Free gives room back.
	Force(holder string, bytes int64)
	Free(holder string, bytes int64)
}

// SetOverlaps bounds the occurrences that are open beside the first one of their job. The others wait,
// although they are due. The schedulers of an owner share it. Without it, all that are due are open.
func (s *Scheduler) SetOverlaps(o Overlaps) { s.overlaps = o }

// openDue opens the occurrences that are due, as far as there is room for them.
func (s *Scheduler) openDue(j *job) {
	j.dueOccurrences = max(j.dueOccurrences, min(j.Over.Before, j.Spec.Occurrences()))
	for j.dueOccurrences < j.Spec.Occurrences() && !s.wall.Before(j.Spec.Due(j.dueOccurrences)) {
		if !s.open(j, j.dueOccurrences) {
			return
		}
		j.dueOccurrences++
	}
}

// open opens an occurrence, unless it is over, and reports false if it has to wait for room.
func (s *Scheduler) open(j *job, k int) bool {
	if j.Over.Has(k) || j.sets[k] != nil {
		return true
	}
	if len(j.open) > 0 && s.overlaps != nil {
		n := j.Spec.occurrenceBytes()
		if !s.overlaps.Take(j.holder(), n) {
			return false
		}
		j.overlapBytes += n
		j.overlaps = s.overlaps
	}
	j.occurrence(k)
	return true
}

// openAndDue returns the open occurrences that are due, in order.
func (j *job) openAndDue() []int {
	n, _ := slices.BinarySearch(j.open, j.dueOccurrences)
	return j.open[:n]
}

// closeOver forgets the occurrences of which all work items are done and nothing may run.
func (j *job) closeOver() {
	if j.Spec.Repetitions == 0 {
		return
	}
	j.open = slices.DeleteFunc(j.open, func(k int) bool {
		if slices.ContainsFunc(j.sets[k], (*itemSet).mayMatter) {
			return false
		}
		delete(j.sets, k)
		j.Over = j.Over.With(k)
		return true
	})
	j.freeOverlaps(int64(max(0, len(j.open)-1)) * j.Spec.occurrenceBytes())
}

// mayMatter reports whether a work item of the set is not done, or its run or end is still under way.
func (set *itemSet) mayMatter() bool {
	if set.itemsLeft > 0 {
		return true
	}
	for i := range set.items {
		if it := &set.items[i]; it.instance != nil || it.unrecordedEnds > 0 {
			return true
		}
	}
	return false
}

// freeOverlaps gives back what the job has taken for occurrences beyond a number of bytes.
func (j *job) freeOverlaps(beyond int64) {
	if free := j.overlapBytes - beyond; free > 0 {
		j.overlaps.Free(j.holder(), free)
		j.overlapBytes -= free
	}
}

// holder names who has submitted the job, for what it holds.
func (j *Job) holder() string { return Holder(j.Account, j.Queue) }
