package daemon

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/encoder"
	"hibiscusline/leaser"
	"hibiscusline/router"
	"hibiscusline/transporter"
	"hibiscusline/waiter"
)

const (
	maxFetchRecords = 500
	// firstMessageTimeout bounds the wait for the first message of a stream. Without it, a peer that stops in the
	// middle of a frame would keep the stream and the data received so far allocated until its connection ends.
	firstMessageTimeout = 5 * time.Second
	// applyTimeout bounds the wait for the records that the sender of a request knew.
	applyTimeout = 200 * time.Millisecond
)

// handleDatagram handles a lease message and records whether the sender has applied a higher offset than this process.
func (d *Daemon) handleDatagram(from netip.AddrPort, payload []byte) {
	g, err := encoder.DecodeDatagram(payload)
	if err != nil {
		d.metrics.GetOrCreateCounter("hibiscus_datagrams_refused_total").Inc()
		return
	}
	d.lastHeard.Store(int64(time.Since(d.started)))
	d.metrics.GetOrCreateCounter("hibiscus_datagrams_received_total").Inc()
	if g.Load != nil {
		d.recordLoad(g.From, *g.Load)
	}
	if g.Applied > d.state.Applied() {
		d.recordAnnounced(g.Applied)
		select {
		case d.aheadPeers <- aheadPeer{address: from, applied: g.Applied}:
		default:
		}
	}
	n := d.incarnation()
	if n == nil || len(g.Lease) == 0 {
		return
	}
	message, err := leaser.DecodeMessage(g.Lease)
	if err != nil {
		d.metrics.GetOrCreateCounter("hibiscus_datagrams_refused_total").Inc()
		return
	}
	d.step(n, leaser.Received{From: g.From, Message: message})
}

// recordAnnounced records that a peer has applied the records up to an offset.
func (d *Daemon) recordAnnounced(applied applier.Offset) {
	for {
		known := d.announced.Load()
		if uint64(applied) <= known || d.announced.CompareAndSwap(known, uint64(applied)) {
			return
		}
	}
}

// handleStream serves one stream that a peer opened.
func (d *Daemon) handleStream(_ context.Context, stream *transporter.Stream) {
	message, err := readFirstMessage(stream)
	if err != nil {
		d.metrics.GetOrCreateCounter("hibiscus_streams_refused_total").Inc()
		stream.CancelRead(transporter.ResetCancelled)
		stream.CancelWrite(transporter.ResetCancelled)
		return
	}
	if request, ok := message.(encoder.Request); ok {
		d.serveRequest(stream, request)
		return
	}
	response := d.handleMessage(stream.Context(), message)
	if err := encoder.Write(stream, response); err != nil {
		stream.CancelWrite(transporter.ResetCancelled)
		return
	}
	// A close error means that the peer has disconnected.
	_ = stream.Close()
}

// readFirstMessage reads the first message of a stream.
func readFirstMessage(stream *transporter.Stream) (encoder.Message, error) {
	if err := stream.SetReadDeadline(time.Now().Add(firstMessageTimeout)); err != nil {
		return nil, err
	}
	message, err := encoder.Read(stream)
	if err != nil {
		return nil, err
	}
	return message, stream.SetReadDeadline(time.Time{})
}

// handleMessage handles all messages other than requests and returns the response.
func (d *Daemon) handleMessage(ctx context.Context, message encoder.Message) encoder.Message {
	switch m := message.(type) {
	case encoder.Fetch:
		b, kept := d.state.Since(m.From, maxFetchRecords)
		return encoder.Records{Start: b.Start, Records: b.Records, Trimmed: !kept}
	case encoder.StateQuery:
		if !d.state.Ready() {
			return encoder.State{}
		}
		encoded, err := d.state.EncodeState()
		if err != nil {
			d.log("state", "state not encoded", "err", err)
			return encoder.State{}
		}
		return encoder.State{Encoded: encoded}
	case encoder.ReplicateRows:
		return d.recordRows(m)
	case encoder.RowsQuery:
		return d.queryRows(m)
	case encoder.Offer:
		return d.handleOffer(m)
	case encoder.Transfer:
		return d.acceptTransfer(ctx, m)
	}
	return encoder.Ack{Refused: "message is not a question"}
}

// serveRequest runs a forwarded request on the backend server.
func (d *Daemon) serveRequest(stream *transporter.Stream, head encoder.Request) {
	sink := &streamSink{stream: stream}
	n := d.incarnation()
	if n == nil {
		sink.finish(sink.Respond(encoder.Response{Outcome: encoder.NotRun, Reason: encoder.NotOwner}))
		return
	}
	// A request that was routed with a newer state must not be refused only because this process lags behind.
	if head.Applied > d.state.Applied() {
		d.awaitApplied(stream.Context(), head.Applied)
	}
	sink.finish(n.dispatcher.Serve(stream.Context(), head, stream, sink))
	stream.CancelRead(transporter.ResetCancelled)
}

// awaitApplied waits until this process has applied an offset, for applyTimeout at most.
func (d *Daemon) awaitApplied(ctx context.Context, offset applier.Offset) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	d.triggerRead()
	for {
		changed := d.state.Changed()
		if d.state.Applied() >= offset {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// streamSink writes a response to a stream.
type streamSink struct {
	stream *transporter.Stream
}

// Respond writes the head of the response.
func (s *streamSink) Respond(r encoder.Response) error { return encoder.Write(s.stream, r) }

// Write writes a part of the body.
func (s *streamSink) Write(p []byte) (int, error) { return s.stream.Write(p) }

// finish closes the stream. After an error it resets the stream instead, so that the entry sees a truncated response.
func (s *streamSink) finish(err error) {
	if err != nil {
		s.stream.CancelWrite(transporter.ResetTruncated)
		return
	}
	// A close error means that the entry has disconnected.
	_ = s.stream.Close()
}

// call sends a message to a peer and returns its response of type A, which it awaits for a bound that comes from a promise.
func call[A encoder.Message](ctx context.Context, d *Daemon, b waiter.Bound, address netip.AddrPort, message encoder.Message) (A, error) {
	var zero A
	ctx, cancel := b.Context(ctx)
	defer cancel()
	stream, err := d.transport.Open(ctx, address)
	if err != nil {
		return zero, err
	}
	defer stream.Release()
	stream.CancelIfSilent()
	stop := context.AfterFunc(ctx, stream.Release)
	defer stop()
	if err := encoder.Write(stream, message); err != nil {
		return zero, err
	}
	if err := stream.Close(); err != nil {
		return zero, err
	}
	response, err := encoder.ReadAs[A](stream)
	return response, errors.Wrap(err, "read answer")
}

// exchanger sends requests to members over QUIC, or directly if the member is this process.
type exchanger Daemon

// Exchange implements router.Exchanger.
func (x *exchanger) Exchange(ctx context.Context, a router.Attempt) (encoder.Response, router.ResponseBody) {
	d := (*Daemon)(x)
	if n := d.incarnation(); n != nil && n.id == a.Member.ID {
		return serveLocally(ctx, n, a.Head, a.Body)
	}
	stream, err := d.transport.Open(ctx, a.Member.Address)
	if err != nil {
		return encoder.Response{Outcome: encoder.NotRun, Reason: encoder.PeerUnreachable}, nil
	}
	if a.Repeatable {
		stream.CancelIfSilent()
	}
	body := &streamBody{stream: stream, stop: context.AfterFunc(ctx, stream.Release)}
	response, err := d.sendAttempt(ctx, stream, a)
	if err != nil || response.Outcome != encoder.Answered {
		body.release()
		return response, nil
	}
	return response, body
}

// sendAttempt sends a request on a stream and returns the head of its response.
func (d *Daemon) sendAttempt(ctx context.Context, stream *transporter.AwaitedStream, a router.Attempt) (encoder.Response, error) {
	if err := encoder.Write(stream, a.Head); err != nil {
		return encoder.Response{Outcome: encoder.Unknown, Reason: encoder.PeerUnreachable}, err
	}
	if a.Head.Length == 0 {
		// If closing fails, the owner has already responded.
		_ = stream.Close()
	} else {
		go sendBody(stream, a.Body)
	}
	response, err := encoder.ReadAs[encoder.Response](stream)
	if err != nil {
		return encoder.Response{Outcome: encoder.Unknown, Reason: lossReason(ctx)}, err
	}
	d.recordLoad(a.Member.ID, response.Load)
	return response, nil
}

func lossReason(ctx context.Context) encoder.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return encoder.DeadlineExceeded
	}
	return encoder.PeerUnreachable
}

func sendBody(stream *transporter.AwaitedStream, body io.Reader) {
	if _, err := io.Copy(stream, body); err != nil {
		stream.CancelWrite(transporter.ResetTruncated)
		return
	}
	// If closing fails, the owner has already responded.
	_ = stream.Close()
}

// streamBody is the body of a response on a stream.
type streamBody struct {
	stream *transporter.AwaitedStream
	stop   func() bool
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (b *streamBody) Read(p []byte) (int, error) { return b.stream.Read(p) }

// Close releases the stream.
func (b *streamBody) Close() error {
	b.release()
	return nil
}

func (b *streamBody) release() {
	b.stop()
	b.stream.Release()
}

// serveLocally runs a request on the local backend server.
func serveLocally(ctx context.Context, n *incarnation, head encoder.Request, body io.Reader) (encoder.Response, router.ResponseBody) {
	reader, writer := io.Pipe()
	sink := &pipeSink{responses: make(chan encoder.Response, 1), writer: writer}
	go func() {
		err := n.dispatcher.Serve(ctx, head, body, sink)
		// CloseWithError never returns an error; a nil error ends the body with io.EOF.
		_ = writer.CloseWithError(err)
		close(sink.responses)
	}()
	select {
	case response, ok := <-sink.responses:
		if !ok {
			return encoder.Response{Outcome: encoder.Unknown, Reason: encoder.BackendFailed}, nil
		}
		if response.Outcome != encoder.Answered {
			return response, nil
		}
		return response, reader
	case <-ctx.Done():
		// The dispatcher has the same context. Its response tells whether the request ran.
		response, ok := <-sink.responses
		if !ok || response.Outcome == encoder.Answered {
			_ = reader.Close()
			return encoder.Response{Outcome: encoder.Unknown, Reason: lossReason(ctx)}, nil
		}
		return response, nil
	}
}

// pipeSink passes a response on within the process.
type pipeSink struct {
	responses chan encoder.Response
	writer    *io.PipeWriter
}

// Respond passes on the head of the response.
func (s *pipeSink) Respond(r encoder.Response) error {
	s.responses <- r
	return nil
}

// Write passes on a part of the body.
func (s *pipeSink) Write(p []byte) (int, error) { return s.writer.Write(p) }
