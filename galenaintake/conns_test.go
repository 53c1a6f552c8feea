package galenaintake

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fakeConn is a connection from an address.
type fakeConn struct {
	net.Conn
	source string
}

func (c fakeConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(c.source), Port: 1}
}

// Guards against the end of connections that are used for the sake of silent ones, or of one whose
// request is being handled.
func TestWhichConnectionGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ended []string
		displaced := 0
		conns := &Conns{Max: 4, Displaced: func() { displaced++ }}
		admit := func(name, source string) *Conn {
			time.Sleep(time.Second)
			c, ok := conns.Admit(fakeConn{source: source}, func() { ended = append(ended, name) })
			is.Equal(ok, c != nil)
			return c
		}
		idle := admit("idle", "10.0.0.1")
		idle.SetWaiting(false)
		idle.SetServed()
		busy := admit("busy", "10.0.0.1")
		busy.SetWaiting(false)
		admit("silent of one", "10.0.0.2")
		admit("silent of two", "10.0.0.1")
		admit("first", "10.0.0.3")
		is.Equal(ended, []string{"silent of two"}) // of the source with the most
		admit("second", "10.0.0.3")
		is.Equal(ended[1:], []string{"silent of one"}) // it has waited longest
		third := admit("third", "10.0.0.3")
		is.Equal(ended[2:], []string{"first"})
		for _, c := range []*Conn{third, admit("fourth", "10.0.0.3")} {
			c.SetWaiting(false)
		}
		is.Equal(ended[3:], []string{"second"})
		last := admit("last", "10.0.0.3")
		is.Equal(ended[4:], []string{"idle"}) // there are no others that wait
		last.SetWaiting(false)
		is.Equal(admit("refused", "10.0.0.4"), nil)
		is.Equal(displaced, 6)
		is.Equal(conns.Len(), 4)
		busy.Close()
		busy.Close()
		is.True(admit("next", "10.0.0.4") != nil)
		is.Equal(len(ended), 5)
	})
}
