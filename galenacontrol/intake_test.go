package galenacontrol

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/galenahead/galenahead/galenaintake"
	"github.com/galenahead/galenahead/galenapb"
)

// Guards against charges of operators' calls that are not given back, headers beyond the limit that
// are held, and connections beyond the bound that keep out others.
func TestOperatorIntakeGivesBackWhatItCharges(t *testing.T) {
	is := is.New(t)
	i := &operatorIntake{budget: &galenaintake.Budget{Bytes: 16 << 20}, conns: galenaintake.Conns{Max: 3}}
	server := grpc.NewServer(i.serverOptions()...)
	galenapb.RegisterControlServer(server, galenapb.UnimplementedControlServer{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(i.listen(ln)) }()
	for range 10 {
		silent, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		defer func() { _ = silent.Close() }()
	}
	conn, err := grpc.NewClient("passthrough:///"+ln.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	client := galenapb.NewControlClient(conn)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	large := &galenapb.HistoryRequest{}
	large.ProtoReflect().SetUnknown(append([]byte{0xfa, 0x7f, 0x80, 0x80, 0x10}, make([]byte, 256<<10)...)) // a field of 256 KiB
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			_, err := client.History(ctx, large)
			is.Equal(status.Code(err), codes.Unimplemented)
		})
	}
	wg.Wait()
	is.True(i.conns.Len() <= 3)
	_, err = client.Status(ctx, &galenapb.StatusRequest{}, grpc.CallContentSubtype(strings.Repeat("x", 2*maxOperatorHeader)))
	is.True(err != nil)
	is.NoErr(conn.Close())
	i.stop(server)
	is.NoErr(<-served)
	is.Equal(i.budget.Figures().Used, int64(0))
	is.Equal(i.conns.Len(), 0)
	is.Equal(len(i.byAddress), 0)
}
