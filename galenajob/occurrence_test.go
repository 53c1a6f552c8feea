package galenajob

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaintake"
)

// Guards against an occurrence that is counted as over although it is not, or not although it is.
func TestOccurrenceSet(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		var set OccurrenceSet
		want := map[int]bool{}
		for range 40 {
			k := rng.IntN(30)
			next := set.With(k)
			is.Equal(set.Has(k), want[k]) // the set is immutable
			set, want[k] = next, true
			for i := -1; i < 32; i++ {
				is.Equal(set.Has(i), want[i])
			}
			is.True(len(set.Others) == 0 || set.Others[0] > set.Before)
		}
	}
	is.True(OccurrenceSet{}.Empty())
	is.True(!OccurrenceSet{}.With(3).Empty())
}

// recurringJob returns a job of which all occurrences are due.
func recurringJob(items, repetitions int) *Job {
	j := testJob("r", items)
	j.Spec.Repetitions, j.Spec.StartAt, j.Spec.Interval = repetitions, t0, 0
	j.ItemsLeft = items * repetitions
	return j
}

// Guards against a recurring job that opens all occurrences that are due at once, or keeps those that
// are over, and against one whose occurrences do not all run once and in order.
func TestOccurrencesOpenAsFarAsThereIsRoom(t *testing.T) {
	is := is.New(t)
	const items, repetitions, open = 2, 50, 5
	s := newFencedScheduler("a", "b")
	record := recurringJob(items, repetitions)
	room := &galenaintake.Room{Bytes: 2 * (open - 1) * record.Spec.occurrenceBytes()}
	s.SetOverlaps(room)
	s.AddJob(t0, record, 0, false)
	runs := map[ItemKey]int{}
	sequence := map[galenahead.InstanceID]int64{}
	now := t0
	for step := 0; len(runs) < items*repetitions && step < 1000; step++ {
		now = now.Add(50 * time.Millisecond)
		ends := map[galenahead.InstanceID][]End{}
		for _, a := range starts(s.Plan(now, now)) {
			runs[a.Item.Item]++
			s.HandleOutcome(now, a, OutcomeDone, 0, now)
			sequence[a.Instance.ID]++
			ends[a.Instance.ID] = append(ends[a.Instance.ID], End{Sequence: sequence[a.Instance.ID], Item: a.Item, Number: a.Run, Reason: EndDone})
		}
		j := s.jobs["r"]
		is.True(len(j.open) <= open)
		is.Equal(len(j.open), len(j.sets))
		is.Equal(room.Used(), int64(max(0, len(j.open)-1))*record.Spec.occurrenceBytes())
		for id, es := range ends {
			req, _ := s.NextPoll(now, id)
			toRecord := s.HandlePoll(now, id, PollResponse{Fence: req.Fence, Clock: now.UnixMilli(), Born: 1, Sent: now, Ends: es})
			newly := make([]bool, len(toRecord))
			for i := range newly {
				newly[i] = true
			}
			s.ConfirmRecorded(now, id, 1, toRecord, newly)
		}
	}
	is.Equal(len(runs), items*repetitions)
	for _, n := range runs {
		is.Equal(n, 1)
	}
	s.Plan(now, now)
	is.Equal(s.jobs["r"].Over.Before, repetitions)
	is.Equal(len(s.jobs["r"].sets), 0)
	s.RemoveJob(now, "r")
	is.Equal(room.Used(), int64(0))
}

// Guards against a next owner that runs occurrences again which are over, and against a job that is
// removed and keeps its room.
func TestNextOwnerSkipsOccurrencesThatAreOver(t *testing.T) {
	is := is.New(t)
	record := recurringJob(2, 1_000_000)
	record.Over = OccurrenceSet{Before: 999_000, Others: []int{999_001}}
	s := newFencedScheduler("a")
	room := &galenaintake.Room{Bytes: 16 * record.Spec.occurrenceBytes()}
	s.SetOverlaps(room)
	s.AddJob(t0, record, time.Hour, true)
	is.True(s.JobStarted("r"))
	as := starts(s.Plan(t0, t0))
	is.Equal(len(as), 4)
	for i, k := range []int{999_000, 999_000, 999_002, 999_002} {
		is.Equal(as[i].Item.Item.Occurrence, k)
	}
	is.Equal(s.activeItem(ItemID{"r", ItemKey{Occurrence: 5}}), nil)
	is.True(room.Used() > 0)
	s.RemoveJob(t0, "r")
	is.Equal(room.Used(), int64(0))
}
