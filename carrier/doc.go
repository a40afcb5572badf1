// Package carrier transfers HTTP/1.1 messages over persistent connections. A Server reads requests and writes the
// responses in order; a Pool sends requests and reads the responses.
//
// Messages are parsed by net/http. The package manages the connections itself, because net/http hides what at-most-once
// forwarding needs to know: whether any byte of a request was sent, whether an idle connection already carries bytes of
// an earlier response, and when a caller with pipelined requests has disconnected. The package never sends a request
// twice.
package carrier
