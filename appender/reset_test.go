package appender

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscusline/recorder"
)

// TestResetDuringAppend guards against a reply delimited by the end of its connection that counts as complete although the
// connection was reset, while the record was still being written.
func TestResetDuringAppend(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	reply, err := cbor.Marshal(recorder.AppendReply{Offset: 7})
	require.NoError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", reply)
					time.Sleep(5 * time.Millisecond)
				}
				_ = c.(*net.TCPConn).SetLinger(0) // The test fails without it.
				_ = c.Close()
			}()
		}
	}()
	client := New(Config{Address: netip.MustParseAddrPort(l.Addr().String()), Stream: testStream})
	defer client.Close()
	// Larger than a record, so that it is still being written when the reply arrives.
	r := request{method: http.MethodPost, target: client.recordsURL, body: make([]byte, 16<<20)}
	complete := 0
	const calls = 100
	for range calls {
		var reply recorder.AppendReply
		if client.call(t.Context(), r, &reply) == nil {
			complete++
		}
	}
	require.Zero(t, complete, "cut replies of %d that count as complete", calls)
}
