package galenaintake

import "syscall"

const (
	// budgetPart is the part of a machine's memory that a budget takes.
	budgetPart = 8
	// defaultBudget is the budget where the memory is not known, and defaultRoom the room.
	defaultBudget = 64 << 20
	defaultRoom   = 512 << 20
	// roomPart is the part of a machine's memory that accepted work may take, and overlapPart the one
	// that occurrences of recurring work may take which are due before earlier ones have ended.
	roomPart    = 3
	overlapPart = 16
	// instancesPart is the part that instances take, of which each takes instanceBytes.
	instancesPart = 8
	instanceBytes = 8 << 10
	// minConns is the least bound on connections.
	minConns = 8
	// fileParts is the number of parts into which the descriptors are divided among ports.
	fileParts = 32
	// callerBytes is what a connection takes that has carried a request, and peerBytes what one does
	// that may hold a message which is not large.
	callerBytes = 24 << 10
	peerBytes   = LargeFrom
)

// Machine is what a process may use of its machine.
type Machine struct {
	// MemoryMB is zero if it is not known.
	MemoryMB int
	// Files is the number of descriptors.
	Files int
}

// ThisMachine returns what the process may use, given what the settings say: its own limit of
// descriptors if files is zero or more than that.
func ThisMachine(memoryMB, files int) Machine {
	m := Machine{MemoryMB: memoryMB, Files: files}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return m
	}
	if own := int(min(limit.Cur, maxFiles)); files == 0 || own < files {
		m.Files = own
	}
	return m
}

// maxFiles stands for a limit of descriptors that is unlimited.
const maxFiles = 1 << 20

// NewBudget returns a budget for the messages of one server.
func (m Machine) NewBudget() *Budget {
	if m.MemoryMB == 0 {
		return &Budget{Bytes: defaultBudget}
	}
	return &Budget{Bytes: m.memory() / budgetPart}
}

// NewRoom returns the room for accepted work.
func (m Machine) NewRoom() *Room {
	if m.MemoryMB == 0 {
		return &Room{Bytes: defaultRoom}
	}
	return &Room{Bytes: m.memory() / roomPart}
}

// NewOverlapRoom returns the room for occurrences of recurring work that are due before earlier ones
// have ended.
func (m Machine) NewOverlapRoom() *Room {
	if m.MemoryMB == 0 {
		return &Room{Bytes: defaultRoom * roomPart / overlapPart}
	}
	return &Room{Bytes: m.memory() / overlapPart}
}

// Instances returns how many instances a process may know that calls each of them, or zero if the memory
// is not known.
func (m Machine) Instances() int { return int(m.memory() / instancesPart / instanceBytes) }

// CacheBytes returns how much a process may keep of what it could do without, or zero if the memory is
// not known.
func (m Machine) CacheBytes() int64 { return m.memory() / budgetPart }

func (m Machine) memory() int64 { return int64(m.MemoryMB) << 20 }

// port is what the connections of a port may take.
type port struct {
	// files is how many of fileParts of the descriptors.
	files int
	// memoryPart is the part of the memory, of which each connection takes bytes.
	memoryPart int
	bytes      int
}

// CallerConns returns how many connections of callers a process may have open that forwards their
// requests on a few connections of its own.
func (m Machine) CallerConns() int { return m.conns(port{28, 2, callerBytes}) }

// ForwardedConns returns how many connections of callers a process may have open that needs as many
// others for their requests.
func (m Machine) ForwardedConns() int { return m.conns(port{16, 4, callerBytes}) }

// AnnouncerConns returns how many connections of upstreams that announce themselves a process may have
// open.
func (m Machine) AnnouncerConns() int { return m.conns(port{4, 8, callerBytes}) }

// PeerConns returns how many connections of other daemons, or of operators and instances, a
// control daemon may have open.
func (m Machine) PeerConns() int { return m.conns(port{8, 4, peerBytes}) }

// EntryPeerConns returns how many connections of other daemons an entry may have open that needs
// descriptors for callers.
func (m Machine) EntryPeerConns() int { return m.conns(port{4, 4, peerBytes}) }

// StatusConns returns how many connections a status server may have open.
func (m Machine) StatusConns() int { return m.conns(port{1, 8, callerBytes}) }

func (m Machine) conns(p port) int {
	n := m.Files - m.Files*(fileParts-p.files)/fileParts
	if m.MemoryMB > 0 {
		n = min(n, int(m.memory())/p.memoryPart/p.bytes)
	}
	return max(n, minConns)
}
