package galenagate

import (
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// hold enters the gate, so that others wait.
func hold(g *Gate) { g.Enter(Progress) }

// Guards against leases that are renewed behind other work, and against requests or the
// work accepted before that never get a turn.
func TestRenewalsGoFirstAndOthersShareTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gate{AtOnce: 1}
		hold(g)
		var mu sync.Mutex
		var order []Class
		work := func(c Class, took time.Duration) {
			g.Enter(c)
			defer g.Leave()
			mu.Lock()
			order = append(order, c)
			mu.Unlock()
			time.Sleep(took)
		}
		for range 3 {
			go work(Progress, 4*time.Millisecond)
			synctest.Wait()
		}
		for range 8 {
			go work(Demand, time.Millisecond)
			synctest.Wait()
		}
		for range 2 {
			go work(Renewal, time.Millisecond)
			synctest.Wait()
		}
		g.Leave()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(order[:2], []Class{Renewal, Renewal})
		is.Equal(order[2:12], []Class{Progress, Demand, Demand, Demand, Demand, Progress, Demand, Demand, Demand, Demand}) // 4 ms each
		is.Equal(order[12:], []Class{Progress})
	})
}

// Guards against a request that waits although the work before it has waited for too long,
// and against one that begins after its time.
func TestWorkOfNoUseIsTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 300 * time.Millisecond
		g := &Gate{AtOnce: 1}
		hold(g)
		admitted := make(chan bool, 1)
		go func() { admitted <- g.EnterWithin(Demand, limit) }()
		time.Sleep(limit/2 + time.Millisecond)
		start := time.Now()
		is.Equal(g.EnterWithin(Demand, limit), false)
		is.Equal(time.Since(start), time.Duration(0)) // at once
		time.Sleep(limit)
		g.Leave()
		is.Equal(<-admitted, false) // its time was over when it was its turn
		is.Equal(g.EnterWithin(Demand, limit), true)
		g.Leave()
		is.Equal(g.working, 0)
	})
}

// Guards against a wait that the owner does not see, or sees twice.
func TestWaitsAreMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gate{AtOnce: 1}
		is.Equal(g.Wait(Renewal), time.Duration(0))
		hold(g)
		go func() {
			g.Enter(Renewal)
			g.Leave()
		}()
		time.Sleep(20 * time.Millisecond)
		is.Equal(g.Wait(Renewal), 20*time.Millisecond)
		is.Equal(g.Wait(Progress), time.Duration(0))
		time.Sleep(10 * time.Millisecond)
		g.Leave()
		synctest.Wait()
		is.Equal(g.Wait(Renewal), time.Duration(0))
		is.Equal(g.TakeLongestWait(Renewal), 30*time.Millisecond)
		is.Equal(g.TakeLongestWait(Renewal), time.Duration(0))
	})
}

// Guards against work at the gate that keeps a goroutine from its processor which has
// nothing to do with it, such as the log after a sync.
func TestOthersRunBetweenWork(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	is := is.New(t)
	g := &Gate{}
	var wg sync.WaitGroup
	busy := func(d time.Duration) {
		for start := time.Now(); time.Since(start) < d; {
			runtime.KeepAlive(d)
		}
	}
	for range 400 {
		wg.Go(func() {
			g.Enter(Progress)
			defer g.Leave()
			busy(500 * time.Microsecond)
		})
	}
	var waits []time.Duration
	wg.Go(func() {
		for range 10 {
			// A goroutine that yields waits in the same queue as one that returns from a
			// system call.
			start := time.Now()
			runtime.Gosched()
			waits = append(waits, time.Since(start))
		}
	})
	wg.Wait()
	slices.Sort(waits)
	is.True(waits[len(waits)/2] < 50*time.Millisecond) // of 200 ms of work
}

// Guards against a gate that admits more than it should, or stays closed.
func TestGateAdmitsAsManyAsItShould(t *testing.T) {
	is := is.New(t)
	var none *Gate
	none.Enter(Demand)
	none.Leave()
	is.True(none.EnterWithin(Demand, 0))
	is.Equal(none.TakeLongestWait(Demand)+none.Wait(Demand), time.Duration(0))

	g := &Gate{AtOnce: 3}
	var mu sync.Mutex
	working, most := 0, 0
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Go(func() {
			g.Enter(Class(i % int(Classes)))
			mu.Lock()
			working++
			most = max(most, working)
			mu.Unlock()
			runtime.Gosched()
			mu.Lock()
			working--
			mu.Unlock()
			g.Leave()
		})
	}
	wg.Wait()
	is.True(most <= 3)
	is.Equal(g.working, 0)
}
