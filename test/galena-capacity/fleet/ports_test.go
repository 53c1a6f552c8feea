package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a daemon that can't listen, since a relay took the port that was allocated
// to it.
func TestRelaysTakeNoPortOfADaemon(t *testing.T) {
	is := is.New(t)
	for range 300 {
		f := &Fleet{options: Options{Dir: t.TempDir(), Controls: 3}}
		_, err := f.prepareDaemons()
		is.NoErr(err)
		daemons := map[string]bool{}
		for _, c := range f.Controls {
			daemons[c.peerAddress], daemons[c.operatorAddress], daemons[c.statusAddress] = true, true, true
		}
		is.Equal(len(daemons), 9)
		for _, c := range f.Controls {
			for _, r := range []*Relay{c.logRelay, c.entryRelay, c.operatorRelay} {
				is.True(!daemons[r.Address()])
			}
		}
		is.NoErr(f.Stop())
	}
}
