package galenaaccount

// Backlog is the work that waits of an account, and its weight.
type Backlog struct {
	Weight float64
	// Work is in core milliseconds.
	Work int64
}

// WorkBefore returns how much work is done before an account has own of its own done, if
// all accounts with a backlog get what their weights give them at the same time: that of
// weighted fair sharing without pieces. others has no backlog of the account itself.
func WorkBefore(own int64, weight float64, others []Backlog) int64 {
	sum := own
	if weight <= 0 {
		weight = minWeight
	}
	rounds := float64(own) / weight
	for _, o := range others {
		sum += int64(min(float64(o.Work), rounds*o.Weight))
	}
	return sum
}
