package galenaintake

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"syscall"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against messages that are held beyond the budget, and against ordinary ones that are refused
// for the sake of those that hold most for longest.
func TestHeaviestMessageIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Budget{Bytes: 1 << 20}
		cancelled := map[string]int{}
		open := func(name string) *Hold { return b.Open(func() { cancelled[name]++ }) }
		slow, large := open("slow"), open("large")
		is.True(slow.Grow(300 << 10))
		time.Sleep(10 * time.Second)
		is.True(large.Grow(400 << 10))
		ordinary := open("ordinary")
		time.Sleep(10 * time.Second)
		is.True(!open("huge").Grow(1 << 20)) // more than there is for large ones, whoever gives way
		is.Equal(cancelled["slow"]+cancelled["large"], 2)
		is.True(!slow.Grow(1))
		is.True(!slow.Received())
		is.True(ordinary.Grow(10 << 10))
		is.Equal(b.Figures().Used, int64(10<<10))
		slow.Close()
		large.Close()
		ordinary.Close()
		ordinary.Close()
		is.Equal(b.Figures(), Figures{Refused: 1, Cancelled: 2})
	})
}

// Guards against a complete message that is given up while it is handled, and against a newcomer
// that takes the place of one that holds less.
func TestCompleteAndLighterMessagesStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Budget{Bytes: 1 << 20}
		handled := b.Open(func() { t.Error("a complete message is given up") })
		is.True(handled.Grow(700 << 10))
		is.True(handled.Received())
		time.Sleep(10 * time.Second)
		light := b.Open(func() { t.Error("a lighter message is given up") })
		is.True(light.Grow(10 << 10))
		is.True(!b.Open(nil).Grow(500 << 10))
		is.True(b.Open(nil).Grow(50 << 10)) // large ones leave a quarter to the others
	})
}

// Guards against a nil or unlimited budget that refuses.
func TestBudgetWithoutBound(t *testing.T) {
	is := is.New(t)
	for _, b := range []*Budget{nil, {}} {
		h := b.Open(nil)
		is.True(h.Grow(1 << 40))
		is.True(h.Received())
		h.Shrink(1)
		h.Close()
		is.Equal(b.Figures().Used, int64(0))
	}
}

// Guards against an announcement that holds memory, against bodies beyond the limit by one byte, and
// against charges that are not what is held.
func TestReadHoldsWhatHasCome(t *testing.T) {
	is := is.New(t)
	b := &Budget{Bytes: 1 << 20}
	const limit = 100_000
	read := func(r io.Reader, announced int64) ([]byte, *Hold, error) {
		h := b.Open(func() {})
		data, err := Read(r, h, announced, limit)
		return data, h, err
	}
	pr, pw := io.Pipe()
	done := make(chan error, 1)
	h := b.Open(func() {})
	go func() { _, err := Read(pr, h, limit, limit); done <- err }()
	_, err := pw.Write([]byte("x"))
	is.NoErr(err)
	is.True(b.Figures().Used <= firstBuffer)
	_ = pw.CloseWithError(io.ErrUnexpectedEOF)
	is.True(errors.Is(<-done, io.ErrUnexpectedEOF))
	h.Close()

	for _, n := range []int{0, 1, firstBuffer, firstBuffer + 1, limit} {
		for _, announced := range []int64{int64(n), -1} {
			data, h, err := read(iotest.HalfReader(bytes.NewReader(make([]byte, n))), announced)
			is.NoErr(err)
			is.Equal(len(data), n)
			is.Equal(b.Figures().Used, int64(cap(data)))
			h.Close()
		}
	}
	for _, announced := range []int64{limit + 1, -1} {
		_, h, err := read(bytes.NewReader(make([]byte, limit+1)), announced)
		is.True(errors.Is(err, ErrTooLarge))
		h.Close()
	}
	is.Equal(b.Figures().Used, int64(0))
	b.Bytes = 10
	_, h, err = read(bytes.NewReader(make([]byte, 100)), 100)
	is.True(errors.Is(err, ErrNoBudget))
	h.Close()
}

// FuzzRead reads bodies in pieces of any length, with any announcement. What is read must be what was
// sent, within the limit, and nothing stays charged.
func FuzzRead(f *testing.F) {
	f.Add(uint16(0), int64(-1), uint16(10), uint64(1))
	f.Add(uint16(9000), int64(9000), uint16(9000), uint64(2))
	f.Add(uint16(9001), int64(100), uint16(9000), uint64(3))
	f.Fuzz(func(t *testing.T, length uint16, announced int64, limit uint16, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		sent := make([]byte, length)
		for i := range sent {
			sent[i] = byte(rng.IntN(256))
		}
		b := &Budget{Bytes: 1 << 16}
		h := b.Open(func() {})
		data, err := Read(&pieces{sent, rng}, h, max(announced, -1), int64(limit))
		switch {
		case err != nil && int(length) <= int(limit) && (announced < 0 || announced == int64(length)) && 4*int(length) < 1<<16:
			t.Fatalf("%d of %d bytes were refused: %v", length, limit, err)
		case err == nil && (!bytes.Equal(data, sent) || int(length) > int(limit)):
			t.Fatalf("read %d bytes of %d, limit %d", len(data), length, limit)
		}
		h.Close()
		if used := b.Figures().Used; used != 0 {
			t.Fatalf("%d bytes are still charged", used)
		}
	})
}

// pieces reads data in pieces of random length.
type pieces struct {
	data []byte
	rng  *rand.Rand
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), 1+p.rng.IntN(2000))], p.data)
	p.data = p.data[n:]
	return n, nil
}

// Guards against bounds that ordinary callers could meet on the smallest machine, and against ones
// beyond what a machine has.
func TestBoundsFollowTheMachine(t *testing.T) {
	is := is.New(t)
	entry := Machine{MemoryMB: 184, Files: 4100}
	is.Equal(entry.CallerConns(), 3588)
	is.Equal(entry.NewBudget().Bytes, int64(23<<20))
	is.True(entry.CallerConns()+entry.StatusConns() < 3900)
	is.Equal(Machine{MemoryMB: 64, Files: 4100}.CallerConns(), 1365)
	is.Equal(Machine{Files: 64}.CallerConns(), 56)
	is.Equal(Machine{Files: 64}.StatusConns(), minConns)
	is.Equal(Machine{MemoryMB: 408, Files: 4100}.PeerConns(), 1025)
	is.Equal(Machine{MemoryMB: 96, Files: 4100}.PeerConns(), 384)
	is.Equal(Machine{}.NewBudget().Bytes, int64(defaultBudget))
	is.Equal(Machine{MemoryMB: 96}.NewRoom().Bytes, int64(32<<20))

	// The ports of a program leave descriptors for what it opens itself.
	small := Machine{MemoryMB: 64, Files: 300}
	is.True(small.ForwardedConns()+small.AnnouncerConns()+small.EntryPeerConns()+small.StatusConns() < 240)
	is.True(2*small.PeerConns()+small.StatusConns() < 200)

	var limit syscall.Rlimit
	is.NoErr(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	own := int(min(limit.Cur, maxFiles))
	is.Equal(ThisMachine(64, 0), Machine{MemoryMB: 64, Files: own})
	is.Equal(ThisMachine(64, 64), Machine{MemoryMB: 64, Files: 64})
	is.Equal(ThisMachine(64, own+1).Files, own)
}

// Guards against connections that are closed for others although they weigh less, and against answers
// that stay beyond the budget because nobody reads them.
func TestConnectionsAndAnswersGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &Budget{Bytes: 1 << 20}
		closed := map[string]int{}
		end := func(name string) func() { return func() { closed[name]++ } }
		old := b.OpenConn(end("old"))
		is.True(old.Grow(2 << 10))
		time.Sleep(time.Hour) // a connection is not given up because it is old
		crowd := b.OpenConn(end("crowd"))
		is.True(crowd.Received())
		is.True(crowd.Grow(700 << 10))
		unread := b.OpenAnswer(300<<10, end("unread"))
		time.Sleep(time.Minute)
		is.True(b.OpenConn(end("other")).Grow(60 << 10)) // in place of the unread answer
		is.Equal(closed, map[string]int{"unread": 1})
		answer := b.OpenAnswer(400<<10, end("answer")) // which is held already
		is.Equal(closed, map[string]int{"unread": 1, "crowd": 1})
		is.Equal(b.Figures().Used, int64(462<<10))
		for _, h := range []*Hold{old, crowd, unread, answer} {
			h.Close()
			h.Shrink(1)
			h.Force(1)
		}
		is.Equal(b.Figures().Used, int64(60<<10))
	})
}

// Guards against one holder that uses up the room of all, against work that is refused although there
// is room, and against room that is not given back.
func TestRoomIsShared(t *testing.T) {
	is := is.New(t)
	r := &Room{Bytes: 800 << 10}
	const piece = 10 << 10
	fill := func(holder string) (n int64) {
		for r.Take(holder, piece) {
			n += piece
		}
		return n
	}
	first := fill("a")
	is.Equal(first, int64(400<<10)) // as much as is left
	second := fill("b")
	is.Equal(second, int64(200<<10))
	is.True(r.Take("c", 60<<10)) // the first piece of a holder
	is.True(!r.Take("d", 600<<10))
	is.True(!r.Fits(700 << 10)) // large ones leave a part to the others
	is.True(r.Fits(600 << 10))
	r.Free("a", first)
	is.True(r.Take("b", 100<<10))
	r.Force("b", 1<<20) // what was accepted elsewhere
	is.True(!r.Take("e", 1))
	r.Free("b", 1<<20)
	r.Free("b", second+(100<<10))
	r.Free("c", 60<<10)
	is.Equal(r.Used(), int64(0))
	var none *Room
	is.True(none.Take("a", 1<<40))
	is.True((&Room{}).Take("a", 1<<40))
}
