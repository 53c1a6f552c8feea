package galenajob

import "github.com/galenahead/galenahead"

// What an accepted job holds of the memory of its owner, with the state of a replica in the same
// process, in bytes. TestJobsHoldWhatIsCounted measures it.
const (
	heldPerJob = 3 << 10
	// heldPerStep counts the step in the state, in the scheduler and in a message or a snapshot, and
	// heldPerItem what the scheduler knows of a work item and the record of its end.
	heldPerStep = 512
	heldPerItem = 640
	// heldPayloads is how many copies of the payload there are: in the state, in the scheduler and in
	// the log.
	heldPayloads = 3
	// HeldByFinalJob is what a job holds that is final, until it is forgotten, and HeldByUnknownJob
	// what one does that was cancelled and is not known.
	HeldByFinalJob   = 512
	HeldByUnknownJob = 256
)

// HeldBytes returns about how much memory a job with the spec takes while it is not final, with one
// occurrence at a time.
func (s *Spec) HeldBytes() int64 {
	return heldPerJob + heldPayloads*int64(len(s.Payload)) + s.occurrenceBytes()
}

// occurrenceBytes returns about how much memory an occurrence takes.
func (s *Spec) occurrenceBytes() int64 {
	n := int64(0)
	for i := range s.Steps {
		n += heldPerStep + heldPerItem*int64(s.Steps[i].Count)
	}
	return n
}

// Holder names who has submitted a job, for what it holds: the client account, or the queue of one
// without an account.
func Holder(account galenahead.AccountName, queue string) string {
	if account != "" {
		return "account " + string(account)
	}
	return "queue " + queue
}
