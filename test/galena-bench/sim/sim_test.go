package sim

import (
	"fmt"
	"os"
	"testing"

	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

func show(r Report) {
	fmt.Printf("%-18s worst %.4f mean %.4f ratio %.4f late %.4f ref %.4f unk %.4f fail %.4f dbl %d peak %d spent %d bl %.4f att %.3f ran %.4f use %.4f\n", r.Policy, r.Worst, r.Mean, r.Ratio, r.Late, r.Refused, r.Unknown, r.Failed, r.Doubled, r.Peak, r.Spent, r.BurstLoss, r.Attempts, r.Ran, r.Useful)
}

func TestX(t *testing.T) {
	for _, name := range trace.Deployments() {
		tr, _ := trace.Generate(name, trace.Seed)
		if os.Getenv("TUNE") != "" {
			return
		}
		fmt.Println(name, len(tr.Requests), tr.Save("../testdata"))
		rs, _ := Decisions(tr)
		for _, r := range rs {
			show(r)
		}
	}
}

func TestTune(t *testing.T) {
	if os.Getenv("TUNE") == "" {
		t.Skip()
	}
	for _, name := range trace.Deployments() {
		tr, _ := trace.Generate(name, trace.Seed)
		vs := []variant{
			omnisciently(PolicyOmniscient, shortestFirst, true, fairShares),
			omnisciently("central", earliestFirst, false, fairShares),
		}
		add := func(n string, f func(*Tuning)) {
			o := Shipped()
			f(&o)
			vs = append(vs, tuned(n, o))
		}
		add("shipped", func(o *Tuning) {})
		for _, d := range []float64{.25, .5, .7, .8, .9, .95} {
			add(fmt.Sprint("drop", d), func(o *Tuning) { o.Drop = d })
		}
		add("nogossip", func(o *Tuning) { o.Gossip = 0 })
		rs, _ := compare(tr, vs)
		fmt.Println(name)
		for _, r := range rs {
			show(r)
		}
	}
}

func TestDiag(t *testing.T) {
	if os.Getenv("DIAG") == "" {
		t.Skip()
	}
	tr, _ := trace.Generate("kitakaze", trace.Seed)
	for _, v := range []variant{tuned("shipped", Shipped()), omnisciently("central", earliestFirst, false, fairShares)} {
		r := replay(tr, v)
		r2 := replay(tr, v)
		fmt.Println("deterministic", r.Mean == r2.Mean, r.Mean, r2.Mean)
		var at uint64
		type key struct{ s, p int }
		cnt := map[key][6]int{}
		for i, x := range tr.Requests {
			at += uint64(x.After)
			p := int(at / 500000)
			k := key{int(at / 4000000), p}
			c := cnt[k]
			c[r.ends[i].Kind]++
			if r.ends[i].Kind == EndUnknown && r.ends[i].Attempts == 0 {
				c[5]++
			}
			cnt[k] = c
		}
		fmt.Println(v.policy, "unk ontime late refused failed unk0")
		for p := 0; p < 80; p++ {
			fmt.Println(p/8, float64(p)/2, cnt[key{p / 8, p}])
		}
	}
}
