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

func (rt *Router) newCallerBody(w http.ResponseWriter, r *http.Request) *callerBody {
	b := &callerBody{
		replayBody: newReplayBody(r.Body, rt.config.ReplayLimit), writer: w, controller: http.NewResponseController(w),
		empty: r.ContentLength == 0, http1: r.ProtoMajor == 1,
	}
	if !b.empty {
		// Without full duplex, the server would read the rest of the body before it sends a response. HTTP/2 is always
		// full duplex and doesn't support this call.
		_ = b.controller.EnableFullDuplex()
	}
	return b
}

// setDeadline sets the read deadline. For a connection without support for deadlines, the limits of the server apply.
func (b *callerBody) setDeadline(at time.Time) { _ = b.controller.SetReadDeadline(at) }

// finish ends the reading of the body; see replayBody.finish.
func (b *callerBody) finish() bool { return b.empty || b.replayBody.finish(b.setDeadline) }

// fullyRead reports whether the body was read to its end.
func (b *callerBody) fullyRead() bool { return b.empty || b.replayBody.fullyRead() }

// closeConnectionUnless makes the server close the connection after the response unless the body was read to its end,
// because the rest of the body would be parsed as the next request. It has no effect after the response header was
// written.
func (b *callerBody) closeConnectionUnless(fullyRead bool) {
	if !fullyRead && b.http1 {
		b.writer.Header().Set("Connection", "close")
	}
}
