package carrier_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
)

// TestProvisionalLimits guards against a final refusal of a request that is over limits which newer ones may have replaced.
func TestProvisionalLimits(t *testing.T) {
	limits := testLimits()
	limits.Provisional = true
	_, address := startServer(t, carrier.ServerConfig{Limits: func() carrier.Limits { return limits }, Handle: echo})
	for name, request := range map[string]string{
		"large header": "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n",
		"header over":  "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 1100) + "\r\n\r\n",
		"large body":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n",
		"large chunks": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1400\r\n" + strings.Repeat("x", 0x1400) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, address)
			fmt.Fprint(c, request)
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.NoError(t, r.Body.Close())
			require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
		})
	}
}
