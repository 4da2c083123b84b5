package directoryrpc_test

import (
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/msgpack"
	"github.com/matryer/is"
)

// The messages of the release before connections were shared.
type (
	earlierHost struct {
		ID          string `codec:"i"`
		Incarnation string `codec:"n"`
	}
	earlierArgs struct {
		Host          earlierHost           `codec:"h"`
		Version       uint64                `codec:"v"`
		ConfigVersion uint64                `codec:"c"`
		Reports       []directoryrpc.Report `codec:"r"`
		Leaving       bool                  `codec:"l"`
		Wait          time.Duration         `codec:"w"`
		Delta         bool                  `codec:"e"`
	}
	earlierReply struct {
		controlrpc.Answer
		TTL         time.Duration               `codec:"t"`
		Changed     bool                        `codec:"c"`
		State       directoryrpc.State          `codec:"s"`
		Base        directoryrpc.EncodedChanges `codec:"b"`
		Changes     directoryrpc.EncodedChanges `codec:"e"`
		Control     []string                    `codec:"a"`
		AsksReports bool                        `codec:"q"`
		Suspected   []string                    `codec:"u"`
		HostCount   int                         `codec:"n"`
	}
)

// TestEarlierRelease guards against messages that a host of the earlier release can't
// read, or that differ from its own where no connections are shared.
func TestEarlierRelease(t *testing.T) {
	is := is.New(t)
	args := directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: "e1", Incarnation: "x"}, Version: 3, Wait: time.Second, Delta: true}
	earlier := earlierArgs{Host: earlierHost{ID: "e1", Incarnation: "x"}, Version: 3, Wait: time.Second, Delta: true}
	is.Equal(msgpack.Encode(&args), msgpack.Encode(&earlier))
	reply := directoryrpc.SyncReply{TTL: time.Second, HostCount: 4}
	earlierAnswer := earlierReply{TTL: time.Second, HostCount: 4}
	is.Equal(msgpack.Encode(&reply), msgpack.Encode(&earlierAnswer))

	args.Host.PeerAddress, args.Host.Draining, args.AsksHosts, args.HostsVersion = "a:1", true, true, 9
	var read earlierArgs
	is.NoErr(msgpack.Decode(msgpack.Encode(&args), &read, "the request"))
	is.Equal(read, earlier)
	reply.Hosts, reply.HostsPending = &directoryrpc.HostChanges{Version: 1}, true
	var readReply earlierReply
	is.NoErr(msgpack.Decode(msgpack.Encode(&reply), &readReply, "the reply"))
	is.Equal(readReply.HostCount, 4)
}
