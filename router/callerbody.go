package router

import (
	"net/http"
	"time"
)

// callerBody is the body of a caller's request together with the connection that it arrives on.
type callerBody struct {
	*replayBody
	writer     http.ResponseWriter
	controller *http.ResponseController
	// empty means that the request has no body.
	empty bool
	http1 bool
}

func (rt *Router) takeBody(w http.ResponseWriter, r *http.Request) *callerBody {
	b := &callerBody{
		replayBody: newReplayBody(r.Body, rt.config.ReplayLimit), writer: w, controller: http.NewResponseController(w),
		empty: r.ContentLength == 0, http1: r.ProtoMajor == 1,
	}
	if !b.empty {
		// Without full duplex the server would read the rest of the body before it sends an answer. HTTP/2 needs and
		// supports no such switch.
		_ = b.controller.EnableFullDuplex()
	}
	return b
}

// setDeadline sets the deadline of reads. A connection that doesn't support deadlines is bounded by the server's own.
func (b *callerBody) setDeadline(at time.Time) { _ = b.controller.SetReadDeadline(at) }

// end ends the reading of the body; see replayBody.
func (b *callerBody) end() bool { return b.empty || b.replayBody.end(b.setDeadline) }

// whole reports whether the body was read to its end.
func (b *callerBody) whole() bool { return b.empty || b.replayBody.whole() }

// closeUnless makes the server close the connection after the answer unless the body was read to its end. What is left of
// the body would be taken for the next request. It has no effect after the answer's head.
func (b *callerBody) closeUnless(whole bool) {
	if !whole && b.http1 {
		b.writer.Header().Set("Connection", "close")
	}
}
