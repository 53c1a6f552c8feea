package galenaintake

const (
	// budgetPart is the part of a machine's memory that a budget takes.
	budgetPart = 8
	// defaultBudget is the budget where the memory is not known.
	defaultBudget = 64 << 20
	// connPart is the part of a machine's memory that connections may take, and connBytes what one
	// takes that has carried a request.
	connPart  = 2
	connBytes = 24 << 10
	// callerFilesPart is the part of the descriptors that is left for all but the connections of
	// callers.
	callerFilesPart = 8
	// statusFilesPart is the part for connections of status requests.
	statusFilesPart = 32
	// peerFilesPart is the part for connections of other daemons, and again of operators and
	// instances. Each may hold a message that is not large, in peerMemoryPart of the memory.
	peerFilesPart  = 4
	peerMemoryPart = 4
	// minConns is the least bound on connections.
	minConns = 8
)

// Machine is what a process may use of its machine.
type Machine struct {
	// MemoryMB is zero if it is not known.
	MemoryMB int
	// Files is the number of descriptors.
	Files int
}

// NewBudget returns a budget for the messages of one server.
func (m Machine) NewBudget() *Budget {
	if m.MemoryMB == 0 {
		return &Budget{Bytes: defaultBudget}
	}
	return &Budget{Bytes: int64(m.MemoryMB) << 20 / budgetPart}
}

// CallerConns returns how many connections of callers an entry may have open.
func (m Machine) CallerConns() int {
	n := m.Files - m.Files/callerFilesPart
	if m.MemoryMB > 0 {
		n = min(n, m.MemoryMB<<20/connPart/connBytes)
	}
	return max(n, minConns)
}

// PeerConns returns how many connections of other daemons, or of operators and instances, a
// control daemon may have open.
func (m Machine) PeerConns() int {
	n := m.Files / peerFilesPart
	if m.MemoryMB > 0 {
		n = min(n, m.MemoryMB<<20/peerMemoryPart/LargeFrom)
	}
	return max(n, minConns)
}

// StatusConns returns how many connections a status server may have open.
func (m Machine) StatusConns() int { return max(m.Files/statusFilesPart, minConns) }
